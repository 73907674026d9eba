import {
  Acceptance,
  checkBundle,
  PulleyError,
  RecordKind,
  Step,
  Verdict,
  type ConfigBundle,
  type FoldedRecord,
  type Register,
} from "@lycheepulley/core";
import type { Proposer } from "@lycheepulley/log";
import {
  CONFIG_KEY,
  configBodySchema,
  getConfigDigest,
  type ConfigBody,
} from "@lycheepulley/serving";

const DEFAULT_TIMEOUT_MS = 10_000;
const HTTP_BAD_REQUEST = 400;

/** A change of configuration as an operator asks for it. */
export interface ConfigChange {
  readonly bundle: ConfigBundle;
  /** Revision that the operator saw; the change is refused if another came between. */
  readonly follows: number;
  readonly changeId: string;
  readonly by: string;
  readonly note: string;
}

/** Configuration that a register holds, with its digest. */
export const readConfigRegister = (
  register: Register | undefined,
): { revision: number; digest: string; body: ConfigBody } | undefined => {
  const body = configBodySchema.safeParse(register?.body).data;
  return body && register
    ? { revision: register.version, digest: getConfigDigest(body), body }
    : undefined;
};

/** What became of a change. */
export type ChangeResult =
  | { readonly accepted: true; readonly revision: number; readonly digest: string }
  | {
      readonly accepted: false;
      readonly revision: number;
      readonly winner: ConfigBody | undefined;
    };

/** Publishes configuration on the log and reads back what the log accepted. */
export class ConfigPublisher {
  readonly #proposer: Proposer;

  constructor(proposer: Proposer) {
    this.#proposer = proposer;
  }

  /** Register of the newest accepted configuration. */
  get current(): Register | undefined {
    return this.#proposer.reader.fold.getRegister(RecordKind.Config, CONFIG_KEY);
  }

  /** Publishes a change; resolves once its place in log order is known. */
  async publish(change: ConfigChange, timeoutMs = DEFAULT_TIMEOUT_MS): Promise<ChangeResult> {
    const { bundle, follows, ...about } = change;
    const faults = checkBundle(bundle);
    if (faults.length > 0) {
      const message = faults.map((fault) => `${fault.path}: ${fault.message}`).join("; ");
      throw new PulleyError(message, {
        code: "invalid_config",
        step: Step.ConfigCheck,
        verdict: Verdict.NotRun,
        status: HTTP_BAD_REQUEST,
        param: faults[0]?.path ?? "",
      });
    }
    const body: ConfigBody = { ...about, base: bundle.base, overlays: { ...bundle.overlays } };
    const folded = await this.#proposer.propose(
      { kind: RecordKind.Config, key: CONFIG_KEY, follows, body },
      { timeoutMs, step: Step.ConfigReadBack },
    );
    return toChangeResult(folded);
  }
}

const toChangeResult = ({ acceptance, register }: FoldedRecord): ChangeResult => {
  const body = configBodySchema.safeParse(register?.body).data;
  const revision = register?.version ?? 0;
  if (acceptance !== Acceptance.Accepted || !body) {
    return { accepted: false, revision, winner: body };
  }
  return { accepted: true, revision, digest: getConfigDigest(body) };
};
