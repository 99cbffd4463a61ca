/** Faults of a call to the platform. */
export type StoreFault =
  /** The call was turned away; nothing took effect. */
  | { type: 'refused', message: string }
  /** The call may or may not have taken effect: a timeout, a reset or a lost acknowledgement. */
  | { type: 'unknown', message: string }
  /** The platform says that the call itself is wrong; repeating it is of no use. */
  | { type: 'invalid', message: string }

/** A refusal of which it is certain that nothing took effect. */
export const hadNoEffect = (fault: StoreFault): boolean => fault.type !== 'unknown'
