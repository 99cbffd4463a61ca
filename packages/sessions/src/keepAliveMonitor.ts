/** Times by which one side of a session shows that it is alive, and detects that the other one is lost. */
export interface KeepAliveTimes {
  /** Longest time between two frames sent, in ms. */
  keepAliveMs: number
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
  /** Called when no frame arrived within the timeout; called again at each check until the session is no longer watched. */
  onTimeout: (silence: Silence) => void
}

/** Reports the frames of a watched session to the monitor. */
export interface SessionWatch {
  /** A frame was sent: the next keep-alive frame is due a whole interval later. */
  onSent: () => void
  /** A frame was received: the timeout starts again. */
  onReceived: () => void
  /** Ends the watch. */
  stop: () => void
}

/** How often sessions are checked, in ms: a keep-alive frame may be late by this much, or early by half of it. */
const CHECK_INTERVAL_MS = 50

interface WatchedSession {
  session: MonitoredSession
  sentAt: number
  receivedAt: number
}

/**
 * Sends keep-alive frames on the sessions of a process and reports those that
 * time out. One timer serves all sessions: a timer for each would cost a process
 * with hundreds of sessions a wake-up for each.
 */
export class KeepAliveMonitor {
  private readonly watched = new Set<WatchedSession>()
  private timer: NodeJS.Timeout | undefined

  /**
   * @param options - intervals and timeouts
   * @param now - monotonic clock, in ms
   */
  constructor (private readonly options: KeepAliveOptions, private readonly now: () => number = () => performance.now()) {}

  /** Watches a session until the returned watch is stopped. */
  watch (session: MonitoredSession): SessionWatch {
    const watched = { session, sentAt: this.now(), receivedAt: this.now() }
    this.watched.add(watched)
    this.timer ??= setInterval(() => this.check(), CHECK_INTERVAL_MS)
    return {
      onSent: () => { watched.sentAt = this.now() },
      onReceived: () => { watched.receivedAt = this.now() },
      stop: () => this.stop(watched)
    }
  }

  private stop (watched: WatchedSession): void {
    this.watched.delete(watched)
    if (this.watched.size > 0) return
    clearInterval(this.timer)
    this.timer = undefined
  }

  private check (): void {
    const now = this.now()
    for (const { session, sentAt, receivedAt } of this.watched) {
      const isBusy = session.isBusy()
      const { keepAliveMs, timeoutMs } = isBusy ? this.options.busy : this.options.idle
      const silentMs = now - receivedAt
      if (silentMs > timeoutMs) session.onTimeout({ silentMs, isBusy })
      else if (now - sentAt >= keepAliveMs - CHECK_INTERVAL_MS / 2) session.sendKeepAlive()
    }
  }
}
