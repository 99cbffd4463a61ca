/** How often sessions are checked, in ms: a keep-alive frame may be late by this much, or early by half of it. */
export const CHECK_INTERVAL_MS = 50
/** Time without a received frame after a probe until the session is suspected, in ms: a round trip takes a few, and an entry under load tens. */
export const PROBE_TIMEOUT_MS = 50
