import { isNewerVmList, type Clock, type TrafficMeter, type VmList } from "@lycheepulley/core";
import { Poller } from "@lycheepulley/streams";
import { HttpVmListClient } from "@lycheepulley/vmlist";

const POLL_INTERVAL_MS = 1_000;

/** Polls the platform's VM list and reports each new version. */
export class VmListWatcher {
  readonly #client: HttpVmListClient;
  readonly #poller: Poller<VmList>;

  constructor(options: {
    origin: string;
    clock: Clock;
    traffic: TrafficMeter;
    onList: (list: VmList) => void;
  }) {
    const { origin, traffic, clock, onList } = options;
    this.#client = new HttpVmListClient({ origin, traffic });
    this.#poller = new Poller({
      clock,
      fetch: () => this.#client.fetchVms(),
      intervalMs: () => POLL_INTERVAL_MS,
    });
    const newVersions = this.#poller.results
      .filter((polled) => polled.ok)
      .map((polled) => polled.value)
      .skipRepeatsWith((a, b) => !isNewerVmList(b, a));
    void newVersions.observe(onList);
  }

  start(): void {
    this.#poller.start();
  }

  async stop(): Promise<void> {
    await this.#poller.stop();
    await this.#client.close();
  }
}
