/** Why a prompt gets no room. */
export const RoomCause = {
  /** The pool's upstreams don't hold it even while they are idle. */
  TooLarge: "too_large",
  /** Room is expected too late for its caller. */
  NoRoom: "no_room",
} as const;
export type RoomCause = (typeof RoomCause)[keyof typeof RoomCause];
