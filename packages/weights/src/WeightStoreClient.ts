import type { TrafficMeter } from "@lycheepulley/core";
import { HttpPeer } from "@lycheepulley/http";
import { z } from "zod";

const weightsSchema = z.object({
  /** Bytes of the weights of one model version. */
  bytes: z.number(),
  /** Loads that the store serves at a time before it slows down. */
  maxConcurrentLoads: z.number().int().positive(),
});
export type WeightsInfo = z.infer<typeof weightsSchema>;

/** The platform's rate-limited store of model weights. */
export interface WeightStoreClient {
  fetchInfo(model: string, version: string): Promise<WeightsInfo>;
}

/** Weight store over its HTTP interface (docs/PLATFORM.md). */
export class HttpWeightStoreClient implements WeightStoreClient {
  readonly #peer: HttpPeer;

  constructor(options: { origin: string; traffic?: TrafficMeter | undefined }) {
    const { origin, traffic } = options;
    this.#peer = new HttpPeer({ name: "weight-store", kind: "weight-store", origin, traffic });
  }

  fetchInfo(model: string, version: string): Promise<WeightsInfo> {
    const path = `/v1/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`;
    return this.#peer.callJson(path, weightsSchema);
  }

  close(): Promise<void> {
    return this.#peer.close();
  }
}
