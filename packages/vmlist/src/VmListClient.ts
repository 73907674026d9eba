import { foldVmList, vmListSchema, type TrafficMeter, type VmList } from "@lycheepulley/core";
import { HttpPeer } from "@lycheepulley/http";

/** The platform's list of live and leaving VMs. */
export interface VmListClient {
  /** Whole list as the platform shows it now. */
  fetchVms(): Promise<VmList>;
}

/** VM list over its HTTP interface (docs/PLATFORM.md). */
export class HttpVmListClient implements VmListClient {
  readonly #peer: HttpPeer;
  #known: VmList | undefined;

  constructor(options: { origin: string; traffic?: TrafficMeter | undefined }) {
    const { origin, traffic } = options;
    this.#peer = new HttpPeer({ name: "vm-list", kind: "vm-list", origin, traffic });
  }

  async fetchVms(): Promise<VmList> {
    const since = this.#known ? `?since=${String(this.#known.version)}` : "";
    const answer = await this.#peer.callJson(`/v1/vms${since}`, vmListSchema);
    this.#known = foldVmList(this.#known, answer);
    return this.#known;
  }

  close(): Promise<void> {
    return this.#peer.close();
  }
}
