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

/** A change of configuration that an operator proposes. */
export interface ConfigChange {
  readonly bundle: ConfigBundle;
  /** Revision that the change is based on; the change is rejected if a newer one was accepted. */
  readonly follows: number;
  /** Chosen by the operator, to recognise the change after a lost response. */
  readonly changeId: string;
  /** Operator that the audit trail names. */
  readonly by: string;
  /** Reason for the audit trail. */
  readonly note: string;
}

/** Reads the configuration in a register; undefined if there is none. */
export const readConfigRegister = (
  register: Register | undefined,
): { revision: number; digest: string; body: ConfigBody } | undefined => {
  const body = configBodySchema.safeParse(register?.body).data;
  return body && register
    ? { revision: register.version, digest: getConfigDigest(body), body }
    : undefined;
};

/** Whether a proposed change was accepted, and the revision that is now the newest. */
export type ChangeResult =
  | { readonly accepted: true; readonly revision: number; readonly digest: string }
  | {
      readonly accepted: false;
      readonly revision: number;
      /** Configuration that was accepted instead. */
      readonly winner: ConfigBody | undefined;
    };

/** Appends configuration to the log and reads back whether it was accepted. */
export class ConfigPublisher {
  readonly #proposer: Proposer;

  constructor(proposer: Proposer) {
    this.#proposer = proposer;
  }

  /** Register of the newest accepted configuration. */
  get current(): Register | undefined {
    return this.#proposer.reader.fold.getRegister(RecordKind.Config, CONFIG_KEY);
  }

  /**
   * Publishes a change and resolves once it was read back from the log, which decides whether
   * it is accepted. Throws a PulleyError if the bundle is invalid.
   */
  async publish(change: ConfigChange, timeoutMs = DEFAULT_TIMEOUT_MS): Promise<ChangeResult> {
    const { bundle, follows, ...metadata } = change;
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
    const body: ConfigBody = { ...metadata, base: bundle.base, overlays: { ...bundle.overlays } };
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
