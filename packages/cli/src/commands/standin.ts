import { readJsonFile, SettingsError } from "@lycheepulley/daemon";
import { StandinHost, standinSettingsSchema } from "@lycheepulley/standins";

import { ExitCode, type Command } from "../Command.js";

/** Runs stand-ins of the platform, engines and services in one process until a signal. */
export const standinCommand: Command = {
  name: "standin",
  summary: "Run stand-ins of platform, engines and services",
  flags: {
    settings: { type: "string", help: "Settings file of the stand-ins", isRequired: true },
  },
  example: "lycheepulley standin --settings standins.json",
  run: async (ctx) => {
    const file = ctx.getString("settings");
    const parsed = standinSettingsSchema.safeParse(await readJsonFile(file));
    if (!parsed.success) {
      throw new SettingsError(
        file,
        parsed.error.issues.map((issue) => `${issue.path.join(".")}: ${issue.message}`),
      );
    }
    const host = new StandinHost(parsed.data);
    ctx.print(JSON.stringify(await host.start()));
    await new Promise<void>((resolve) => {
      process.once("SIGTERM", resolve);
      process.once("SIGINT", resolve);
    });
    await host.stop();
    return ExitCode.Done;
  },
};
