import { z } from "zod";

/** Deaths of upstreams after which a fingerprint is blocked. */
export const MAX_STRIKES = 2;

/** How long a fingerprint stays suspect or blocked after its last strike. */
export const BLOCK_TERM_MS = 86_400_000;

export const PoisonAction = {
  Strike: "strike",
  /** Removes one strike because the upstream had not died. */
  Withdraw: "withdraw",
  /** Removes all strikes. */
  Lift: "lift",
} as const;

export const poisonBodySchema = z.object({
  action: z.enum(PoisonAction),
  /** Upstream that died, or operator who lifted the block. */
  by: z.string(),
  requestId: z.string().optional(),
});

export const poisonStateSchema = z.object({
  strikes: z.number().int(),
  by: z.array(z.string()),
});
export type PoisonState = z.infer<typeof poisonStateSchema>;

const NO_STRIKES: PoisonState = { strikes: 0, by: [] };

/** Applies one record to the strikes of a fingerprint; ignores an invalid record. */
export const reducePoison = (previous: unknown, body: unknown): PoisonState => {
  const parsedState = poisonStateSchema.safeParse(previous);
  const state = parsedState.success ? parsedState.data : NO_STRIKES;
  const record = poisonBodySchema.safeParse(body);
  if (!record.success) {
    return state;
  }
  switch (record.data.action) {
    case PoisonAction.Lift:
      return NO_STRIKES;
    case PoisonAction.Withdraw:
      return { ...state, strikes: Math.max(0, state.strikes - 1) };
    case PoisonAction.Strike:
      return {
        strikes: state.strikes + 1,
        by: [...state.by, record.data.by].slice(-MAX_STRIKES),
      };
  }
};
