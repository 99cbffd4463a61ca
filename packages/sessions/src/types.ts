/** Times by which one side of a session shows that it is alive, and detects that the other one is lost. */
export interface KeepAliveTimes {
  /** Longest time between two frames sent, in ms. */
  keepAliveMs: number
  /** Time without a received frame after which the connection is suspected to be silent, in ms; unset on the side that cannot open another one. */
  suspectMs?: number
  /** Time without a received frame after which the session times out, in ms. */
  timeoutMs: number
}

/** Keep-alive times of all sessions of a process. */
export interface KeepAliveOptions {
  /** For sessions with orders outstanding. */
  busy: KeepAliveTimes
  /** For all other sessions. */
  idle: KeepAliveTimes
}

/** How long nothing was received on a session, and how it was judged. */
export interface Silence {
  /** Time since the last received frame, in ms. */
  silentMs: number
  /** The times of a busy session applied. */
  isBusy: boolean
}

/** One side of a session, as the monitor uses it. */
export interface MonitoredSession {
  /** True while orders are outstanding on the session: both sides must then detect soon if the other one is lost. */
  isBusy: () => boolean
  /** Sends an empty frame. */
  sendKeepAlive: () => void
  /** Sends a frame that asks the other side for one at once. */
  sendProbe?: () => void
  /** True while another session may be opened beside this one; never on the side that cannot dial. */
  isReplaceable?: () => boolean
  /** True if the other side has said that it is under load, so that its frames may well be late. */
  isPeerLoaded?: () => boolean
  /** Called once for each silence that reaches `suspectMs`, or if a probe is not answered, unless frames arrived after an earlier suspicion a moment ago. */
  onSuspected?: (silence: Silence) => void
  /** Called when no frame arrived within the timeout; called again at each check until the session is no longer watched. */
  onTimeout: (silence: Silence) => void
}

/** Reports the frames of a watched session to the monitor. */
export interface SessionWatch {
  /** A frame was sent: the next keep-alive frame is due a whole interval later. */
  onSent: () => void
  /** A frame was received: the timeout starts again. */
  onReceived: () => void
  /** True from a suspicion until the next frame is received. */
  isSuspected: () => boolean
  /** Ends the watch. */
  stop: () => void
}
