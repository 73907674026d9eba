import { spawn, type ChildProcess as NodeChildProcess } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, type WriteStream } from "node:fs";
import { createInterface } from "node:readline";

const READY_TIMEOUT_MS = 20_000;
const EXIT_TIMEOUT_MS = 60_000;

/** A child process that runs the command line; its standard error is appended to a file. */
export class ChildProcess {
  readonly #child: NodeChildProcess;
  readonly #output: WriteStream;
  readonly #exit: Promise<number | null>;

  constructor(options: {
    entryPoint: string;
    args: readonly string[];
    outputFile: string;
    env?: Readonly<Record<string, string>>;
  }) {
    this.#output = createWriteStream(options.outputFile, { flags: "a" });
    this.#child = spawn(process.execPath, [options.entryPoint, ...options.args], {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, ...options.env },
    });
    this.#child.stderr?.pipe(this.#output, { end: false });
    this.#exit = once(this.#child, "exit").then(([code]) => code as number | null);
  }

  get pid(): number {
    return this.#child.pid ?? 0;
  }

  /** Waits for the first line of output, which a process prints when it is ready. */
  async waitUntilReady(): Promise<string> {
    const lines = createInterface({ input: this.#child.stdout ?? process.stdin });
    const firstLine = new Promise<string>((resolve, reject) => {
      lines.once("line", resolve);
      setTimeout(() => {
        reject(new Error("process printed no line before the start time-out"));
      }, READY_TIMEOUT_MS).unref();
      void this.#exit.then((code) => {
        reject(new Error(`process exited with code ${String(code)} before it was ready`));
      });
    });
    return firstLine;
  }

  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /**
   * Sends a signal and waits for the exit, with SIGKILL after a time-out; returns the exit code.
   */
  async stop(signal: NodeJS.Signals = "SIGTERM"): Promise<number | null> {
    if (this.#child.exitCode === null && this.#child.signalCode === null) {
      this.#child.kill(signal);
      const timer = setTimeout(() => this.#child.kill("SIGKILL"), EXIT_TIMEOUT_MS);
      await this.#exit;
      clearTimeout(timer);
    }
    this.#output.end();
    return this.#child.exitCode;
  }
}
