import { readFile } from "node:fs/promises";
import { join } from "node:path";

import { HttpPeer } from "@lycheepulley/http";
import { z } from "zod";

import { getExampleKey, readDeployment } from "../fleet/deployment.js";
import { getOrigin, LocalFleet } from "../fleet/LocalFleet.js";

const ENTRY_PROCESS_COUNT = 3;
const BYTES_PER_TOKEN = 4;
const REQUEST_TIMEOUT_MS = 300_000;
const TIME_SCALE = 4;
/** Longer than the demonstration lasts. */
const STOPPED_MS = 600_000;
const HTTP_OK = 200;
const HTTP_MULTIPLE_CHOICES = 300;

/** One request of the demonstration. */
interface DemoCase {
  readonly name: string;
  readonly promptFile?: string;
  readonly promptTokens?: number;
  readonly maxTokens?: number;
  readonly service?: { readonly method: "GET" | "POST"; readonly path: string };
}

const CASES: readonly DemoCase[] = [
  { name: "dieline note", promptFile: "dieline-note.txt", promptTokens: 1_000, maxTokens: 40 },
  { name: "critique", promptFile: "critique.txt", promptTokens: 24_000, maxTokens: 120 },
  {
    name: "archive review",
    promptFile: "archive-review.txt",
    promptTokens: 900_000,
    maxTokens: 60,
  },
  { name: "preview", service: { method: "GET", path: "/services/studio-app/previews/k-17" } },
  {
    name: "annotation save",
    service: { method: "POST", path: "/services/studio-app/annotations/k-17" },
  },
];

/** Result of one request, a row of the demonstration's table. */
export interface DemoRow {
  readonly name: string;
  readonly status: number;
  readonly requestId: string;
  readonly fate: string;
  readonly ms: number;
  readonly detail: string;
}

/** True when the request ended as the demonstration promises: answered, with a finished fate. */
export const isAsPromised = ({ status, fate }: DemoRow): boolean =>
  status >= HTTP_OK && status < HTTP_MULTIPLE_CHOICES && fate === "finished";

const fateSchema = z.object({ state: z.string(), reason: z.string().optional() });
const addressSchema = z.object({
  keepMs: z.number(),
  addresses: z.array(z.object({ host: z.string(), port: z.number(), failureDomain: z.string() })),
});

/**
 * Starts a small deployment, sends one request of each kind and returns the results with their
 * fates.
 */
export const runDemo = async (options: {
  examples: string;
  entryPoint: string;
  folder: string;
  engines: number;
  /** An engine ends before the requests are sent. */
  stopsEngine: boolean;
  onProgress: (line: string) => void;
}): Promise<DemoRow[]> => {
  const { examples, entryPoint, folder, engines, stopsEngine, onProgress } = options;
  const loaded = await readDeployment(examples, "caixa-dobrada");
  const fleet = new LocalFleet({
    loaded,
    entryPoint,
    folder,
    timeScale: TIME_SCALE,
    modelWorkers: engines,
    entryProcesses: ENTRY_PROCESS_COUNT,
  });
  onProgress(`starting platform stand-ins, ${String(engines)} engines, 3 services`);
  onProgress(`starting ${String(ENTRY_PROCESS_COUNT)} entry processes; logs in ${folder}`);
  try {
    await fleet.start();
    onProgress("configuration revision 1 is in force at every entry process");
    const [engine] = fleet.engineVms;
    if (stopsEngine && engine) {
      await fleet.injectUpstreamFault(engine, { dieMs: STOPPED_MS });
      onProgress(`stopped engine ${engine.id}`);
    }
    const peer = await connectToFleet(fleet, onProgress);
    const rows: DemoRow[] = [];
    for (const demoCase of CASES) {
      onProgress(`sending ${demoCase.name}`);
      rows.push(await runCase(peer, examples, demoCase));
    }
    await peer.close();
    return rows;
  } finally {
    await fleet.stop();
  }
};

/** Fetches the addresses from one entry process and creates a client of the first. */
const connectToFleet = async (
  fleet: LocalFleet,
  onProgress: (line: string) => void,
): Promise<HttpPeer> => {
  const vm = fleet.entries[0]?.vm ?? { host: "", port: 0 };
  const answer = addressSchema.parse(
    await fleet.fetch(getOrigin(vm), "/v1/address?failure_domain=lisboa-b"),
  );
  const [first] = answer.addresses;
  const list = answer.addresses.map((a) => `${a.host}:${String(a.port)} (${a.failureDomain})`);
  onProgress(`addresses: ${list.join(", ")}; valid for ${String(answer.keepMs)} ms`);
  return new HttpPeer({
    name: "entry",
    kind: "demo",
    origin: getOrigin(first ?? vm),
    timeoutMs: REQUEST_TIMEOUT_MS,
  });
};

const runCase = async (peer: HttpPeer, examples: string, demoCase: DemoCase): Promise<DemoRow> => {
  const startMs = performance.now();
  const authorization = `Bearer ${getExampleKey("anchor")}`;
  const { service } = demoCase;
  const res = service
    ? await peer.open(service.path, {
        method: service.method,
        headers: { authorization, "idempotency-key": `demo-${demoCase.name}` },
        ...(service.method === "POST" ? { body: JSON.stringify({ note: "fold line moved" }) } : {}),
      })
    : await peer.open("/v1/chat/completions", {
        method: "POST",
        headers: { authorization },
        body: JSON.stringify(await newPromptBody(examples, demoCase)),
      });
  const text = await res.body.text();
  const requestId = String(res.headers["x-request-id"] ?? "");
  const fate = fateSchema.parse(
    await peer.callJson(`/v1/requests/${requestId}`, z.unknown(), { headers: { authorization } }),
  );
  return {
    name: demoCase.name,
    status: res.statusCode,
    requestId,
    fate: fate.state,
    ms: Math.round(performance.now() - startMs),
    detail: getDetail(text),
  };
};

const newPromptBody = async (examples: string, demoCase: DemoCase): Promise<unknown> => {
  const text = await readFile(join(examples, "prompts", demoCase.promptFile ?? ""), "utf8");
  const bytes = (demoCase.promptTokens ?? 1_000) * BYTES_PER_TOKEN;
  const content = text.repeat(Math.ceil(bytes / text.length)).slice(0, bytes);
  return {
    model: "studio-llm",
    max_tokens: demoCase.maxTokens,
    messages: [{ role: "user", content }],
  };
};

const MAX_DETAIL_LENGTH = 60;
const answerSchema = z.object({
  choices: z.array(z.object({ message: z.object({ content: z.string() }) })).optional(),
  error: z.object({ code: z.string(), message: z.string() }).optional(),
});

const getDetail = (text: string): string => {
  const parsed = answerSchema.safeParse(JSON.parse(text)).data;
  if (parsed?.error) {
    return `${parsed.error.code}: ${parsed.error.message}`.slice(0, MAX_DETAIL_LENGTH);
  }
  return (parsed?.choices?.[0]?.message.content ?? text).slice(0, MAX_DETAIL_LENGTH);
};
