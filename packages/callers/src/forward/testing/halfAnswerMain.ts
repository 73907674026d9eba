import { ListenerHarness } from "./ListenerHarness.js";

// A process that begins each answer and never ends it; it sends its port to its parent.
const harness = await ListenerHarness.start();
harness.forward = (_req, writer) => {
  writer.sendHead(200, []);
  writer.write(Buffer.from("half of it"));
  return new Promise(() => undefined);
};
process.send?.(harness.port);
