import { Deployment } from "./Deployment.js";
import { Recorder } from "./Recorder.js";
import type { StoreStandin } from "./StoreStandin.js";

/** A worker's stand-in. */
export interface Worker {
  listen(): Promise<void>;
  announce(store: StoreStandin): void;
  close(): void;
}

/** A running small deployment, with what a case needs of it. */
export interface Scene<W extends Worker> {
  readonly deployment: Deployment;
  readonly workers: readonly W[];
  readonly recorder: Recorder;
  /** False when the case runs without its disruption. */
  readonly hasTrouble: boolean;
}

const MAX_CASE_MS = 115_000;

/**
 * Runs a case, writes its record and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the
 * case couldn't run. `play` resolves with the number of times that the rule was broken.
 */
export const runCase = async <W extends Worker>(
  recordFile: string,
  options: {
    readonly hosts: readonly string[];
    readonly newWorkers: (recorder: Recorder) => readonly W[];
  },
  play: (scene: Scene<W>) => Promise<number>,
): Promise<void> => {
  const recorder = new Recorder();
  const deployment = new Deployment();
  const workers = options.newWorkers(recorder);
  const finish = (status: number): void => {
    deployment.close();
    workers.forEach((worker) => {
      worker.close();
    });
    recorder.write(recordFile);
    process.exit(status);
  };
  setTimeout(() => {
    recorder.add("check    the case took too long");
    finish(2);
  }, MAX_CASE_MS);
  try {
    await Promise.all(workers.map((worker) => worker.listen()));
    await deployment.start(options.hosts, () => {
      workers.forEach((worker) => {
        worker.announce(deployment.store);
      });
    });
    const hasTrouble = process.env["TROUBLE"] !== "0";
    const broken = await play({ deployment, workers, recorder, hasTrouble });
    finish(broken > 0 ? 1 : 0);
  } catch (err) {
    recorder.add(`check    the case couldn't run: ${String(err)}`);
    finish(2);
  }
};
