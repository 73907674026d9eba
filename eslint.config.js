import tseslint from "typescript-eslint";

/** Packages that each package may import; imports go one way. */
const ALLOWED_IMPORTS = {
  core: [],
  streams: ["core"],
  telemetry: ["core"],
  http: ["core"],
  log: ["core", "http", "streams"],
  vmlist: ["core", "http", "streams"],
  weights: ["core", "http"],
  engines: ["core", "http", "streams"],
  services: ["core", "http"],
  nodes: ["core", "http", "streams"],
  forwarding: ["core", "telemetry"],
  simulation: ["core", "forwarding", "telemetry"],
  upstreams: ["core", "forwarding", "http"],
  callers: ["core", "http", "telemetry", "forwarding"],
  serving: [
    "core",
    "streams",
    "telemetry",
    "log",
    "vmlist",
    "weights",
    "engines",
    "services",
    "nodes",
  ],
  operators: ["core", "log", "nodes", "serving"],
  daemon: [
    "core",
    "streams",
    "telemetry",
    "http",
    "log",
    "vmlist",
    "weights",
    "engines",
    "services",
    "nodes",
    "callers",
    "serving",
    "operators",
    "forwarding",
  ],
  standins: ["core", "http"],
  tools: [
    "core",
    "streams",
    "telemetry",
    "http",
    "log",
    "nodes",
    "operators",
    "engines",
    "services",
    "serving",
    "daemon",
    "standins",
    "callers",
    "vmlist",
    "weights",
  ],
  cli: [
    "core",
    "http",
    "log",
    "nodes",
    "operators",
    "daemon",
    "serving",
    "simulation",
    "standins",
    "tools",
    "telemetry",
    "platform",
  ],
};
const PACKAGES = [...Object.keys(ALLOWED_IMPORTS), "platform"];

const importRules = Object.keys(ALLOWED_IMPORTS).map((name) => ({
  files: [`packages/${name}/src/**/*.ts`],
  ignores: ["**/*.test.ts"],
  rules: {
    "no-restricted-imports": [
      "error",
      {
        patterns: [
          {
            group: PACKAGES.filter((other) => !ALLOWED_IMPORTS[name].includes(other)).map(
              (other) => (other === "cli" ? "lycheepulley" : `@lycheepulley/${other}`),
            ),
            message: "Imports go one way; see docs/ARCHITECTURE.md.",
          },
        ],
      },
    ],
  },
}));

export default tseslint.config(
  {
    ignores: [
      "**/dist/**",
      "out/**",
      "node_modules/**",
      "target/**",
      "deploy/**",
      ".mocharc.cjs",
      "packages/cli/bin/**",
      "*.config.js",
    ],
  },
  ...tseslint.configs.strict,
  ...tseslint.configs.stylistic,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      "@typescript-eslint/no-floating-promises": "error",
      "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
      "@typescript-eslint/explicit-function-return-type": [
        "error",
        { allowExpressions: true, allowTypedFunctionExpressions: true },
      ],
      "@typescript-eslint/consistent-type-imports": "error",
      "max-lines": ["error", { max: 350, skipBlankLines: false, skipComments: false }],
      complexity: ["error", 15],
    },
  },
  ...importRules,
  {
    files: ["**/*.test.ts"],
    rules: { "@typescript-eslint/no-unused-expressions": "off", "max-lines": "off" },
  },
);
