import { foldVmList, vmListSchema, type TrafficMeter, type VmList } from "@lycheepulley/core";
import { HttpPeer } from "@lycheepulley/http";

/** Client of the platform's list of live and leaving VMs. */
export interface VmListClient {
  /** Fetches the whole list; the platform's view may lag behind. */
  fetchVms(): Promise<VmList>;
}

/** Client of the VM list's HTTP interface (docs/PLATFORM.md); fetches only what has changed. */
export class HttpVmListClient implements VmListClient {
  readonly #peer: HttpPeer;
  #lastList: VmList | undefined;

  constructor(options: { origin: string; traffic?: TrafficMeter | undefined }) {
    const { origin, traffic } = options;
    this.#peer = new HttpPeer({ name: "vm-list", kind: "vm-list", origin, traffic });
  }

  async fetchVms(): Promise<VmList> {
    const since = this.#lastList ? `?since=${String(this.#lastList.version)}` : "";
    const update = await this.#peer.callJson(`/v1/vms${since}`, vmListSchema);
    this.#lastList = foldVmList(this.#lastList, update);
    return this.#lastList;
  }

  close(): Promise<void> {
    return this.#peer.close();
  }
}
