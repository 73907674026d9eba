import type { TrafficMeter } from "@lycheepulley/core";
import { HttpPeer } from "@lycheepulley/http";
import { z } from "zod";

const weightsInfoSchema = z.object({
  /** Size of the model version's weights, bytes. */
  bytes: z.number(),
  /** Concurrent loads that the store serves before it slows down. */
  maxConcurrentLoads: z.number().int().positive(),
});
/** Description of a model version's weights. */
export type WeightsInfo = z.infer<typeof weightsInfoSchema>;

/** Client of the platform's rate-limited store of model weights. */
export interface WeightStoreClient {
  fetchInfo(model: string, version: string): Promise<WeightsInfo>;
}

/** Client of the weight store's HTTP interface (docs/PLATFORM.md). */
export class HttpWeightStoreClient implements WeightStoreClient {
  readonly #peer: HttpPeer;

  constructor(options: { origin: string; traffic?: TrafficMeter | undefined }) {
    const { origin, traffic } = options;
    this.#peer = new HttpPeer({ name: "weight-store", kind: "weight-store", origin, traffic });
  }

  fetchInfo(model: string, version: string): Promise<WeightsInfo> {
    const path = `/v1/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`;
    return this.#peer.callJson(path, weightsInfoSchema);
  }

  close(): Promise<void> {
    return this.#peer.close();
  }
}
