import { writeFileSync } from "node:fs";

/** Record of a case: a line for each event, with the milliseconds since its start. */
export class Recorder {
  readonly #startMs = performance.now();
  readonly #lines: string[] = [];

  get now(): number {
    return Math.round(performance.now() - this.#startMs);
  }

  add(text: string): void {
    this.#lines.push(`${String(this.now).padStart(7)}  ${text}`);
  }

  write(file: string): void {
    writeFileSync(file, `${this.#lines.join("\n")}\n`);
  }
}
