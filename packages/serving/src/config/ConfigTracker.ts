import {
  Acceptance,
  digestOf,
  getSiteConfig,
  isJsonObject,
  RecordKind,
  type ConfigBundle,
  type FleetConfig,
  type FoldedRecord,
  type Register,
} from "@lycheepulley/core";
import type { FoldReader } from "@lycheepulley/log";
import { Publisher } from "@lycheepulley/streams";
import type { Stream } from "most";
import { z } from "zod";

/** Key of the register that holds the fleet's configuration. */
export const CONFIG_KEY = "fleet";

const objectSchema = z.custom<ConfigBundle["base"]>(isJsonObject);

/** Body of a configuration record. */
export const configBodySchema = z.object({
  changeId: z.string(),
  by: z.string(),
  note: z.string(),
  base: objectSchema,
  overlays: z.record(z.string(), objectSchema),
});
export type ConfigBody = z.infer<typeof configBodySchema>;

/** The configuration in force at this site, with its revision. */
export interface ConfigInForce {
  readonly revision: number;
  readonly digest: string;
  readonly config: FleetConfig;
}

/** Digest by which operators compare the configuration in force with the accepted one. */
export const getConfigDigest = (body: ConfigBody): string =>
  digestOf({ base: body.base, overlays: body.overlays });

/** Follows the log and puts the newest accepted configuration in force for one site. */
export class ConfigTracker {
  readonly #site: string;
  readonly #publisher = new Publisher<ConfigInForce>();
  readonly #onError: (message: string) => void;
  #current: ConfigInForce | undefined;

  constructor(options: { reader: FoldReader; site: string; onError?: (message: string) => void }) {
    this.#site = options.site;
    this.#onError = options.onError ?? (() => undefined);
    options.reader.subscribe((folded) => {
      this.#onFolded(folded);
    });
  }

  get current(): ConfigInForce | undefined {
    return this.#current;
  }

  /** Stream of the configurations as they come into force. */
  get inForce(): Stream<ConfigInForce> {
    return this.#publisher.stream;
  }

  /** Calls `fn` with each configuration as it comes into force. */
  subscribe(fn: (cfg: ConfigInForce) => void): () => void {
    return this.#publisher.subscribe(fn);
  }

  /** Puts the configuration of a register in force, unless its revision is not newer. */
  adopt(register: Register | undefined): void {
    if (!register || register.version <= (this.#current?.revision ?? 0)) {
      return;
    }
    const body = configBodySchema.safeParse(register.body);
    const effective = body.success ? getSiteConfig(body.data, this.#site) : undefined;
    if (!body.success || !effective?.ok) {
      this.#onError(`configuration revision ${String(register.version)} is invalid`);
      return;
    }
    this.#current = {
      revision: register.version,
      digest: getConfigDigest(body.data),
      config: effective.config,
    };
    this.#publisher.publish(this.#current);
  }

  #onFolded({ record, acceptance, register }: FoldedRecord): void {
    if (record.kind === RecordKind.Config && acceptance === Acceptance.Accepted) {
      this.adopt(register);
    }
  }
}
