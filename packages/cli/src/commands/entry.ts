import { EntryNode, ProcessSignals, readSettings } from "@lycheepulley/daemon";

import { ExitCode, type Command } from "../Command.js";

/** Runs one entry process until a signal or an operator drains it. */
export const entryCommand: Command = {
  name: "entry",
  summary: "Run one entry process",
  flags: {
    settings: { type: "string", help: "Settings file of the process", isRequired: true },
    overlay: { type: "string", help: "Overlay file merged into the settings" },
  },
  example: "lycheepulley entry --settings examples/medellin/settings.json",
  run: async (ctx) => {
    const signals = new ProcessSignals();
    const settings = await readSettings(ctx.getString("settings"), ctx.getOptional("overlay"));
    const node = new EntryNode(settings);
    await node.start();
    ctx.print(JSON.stringify({ ready: true, name: settings.name }));
    const stopSignal = new Promise<string>((resolve) => {
      signals.attach({ drain: resolve });
    });
    await Promise.race([
      stopSignal.then((signal) => node.drain(signal)),
      node.waitForOperatorDrain(),
    ]);
    await node.stop();
    return ExitCode.Done;
  },
};
