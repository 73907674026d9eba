import { foldVmList, vmListSchema, type TrafficMeter, type VmList } from "@lycheepulley/core";
import { HttpPeer } from "@lycheepulley/http";

/** Client of the platform's list of live and leaving VMs. */
export interface VmListClient {
  /** Fetches the whole list; the platform's view may lag behind. */
  fetchVms(): Promise<VmList>;
}

/** Older answers in a row after which the service has begun again; fewer may be of a copy that lags. */
const MAX_OLDER_ANSWERS = 3;

/** Client of the VM list's HTTP interface (docs/PLATFORM.md); fetches only what has changed. */
export class HttpVmListClient implements VmListClient {
  readonly #peer: HttpPeer;
  #lastList: VmList | undefined;
  #olderAnswers = 0;

  constructor(options: { origin: string; traffic?: TrafficMeter | undefined }) {
    const { origin, traffic } = options;
    this.#peer = new HttpPeer({ name: "vm-list", kind: "vm-list", origin, traffic });
  }

  async fetchVms(): Promise<VmList> {
    const since = this.#lastList ? `?since=${String(this.#lastList.version)}` : "";
    const update = await this.#peer.callJson(`/v1/vms${since}`, vmListSchema);
    const last = this.#lastList;
    const isOlder = last !== undefined && update.version < last.version;
    this.#olderAnswers = isOlder ? this.#olderAnswers + 1 : 0;
    if (last && this.#olderAnswers >= MAX_OLDER_ANSWERS) {
      const whole = await this.#peer.callJson("/v1/vms", vmListSchema);
      this.#olderAnswers = 0;
      this.#lastList = { ...whole, generation: (last.generation ?? 0) + 1 };
      return this.#lastList;
    }
    const list = foldVmList(last, update);
    this.#lastList = { ...list, ...(last?.generation && { generation: last.generation }) };
    return this.#lastList;
  }

  close(): Promise<void> {
    return this.#peer.close();
  }
}
