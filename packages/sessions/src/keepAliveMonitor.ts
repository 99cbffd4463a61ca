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

/** How often sessions are checked, in ms: a keep-alive frame may be late by this much, or early by half of it. */
const CHECK_INTERVAL_MS = 50

/**
 * For this time after a suspicion that proved wrong, the session is not suspected
 * again, in ms: an overloaded peer would otherwise get a new connection for each pause.
 */
const FALSE_ALARM_PAUSE_MS = 5000
/** Time without a received frame after a probe until the session is suspected, in ms: a round trip takes a few, and an entry under load tens. */
const PROBE_TIMEOUT_MS = 50
/** How long further connections are expected to go silent after one has, in ms. */
const ALERT_MS = 3000
/** Time without a received frame after which a session is probed while that is expected, in ms: the interval of a busy session's frames. */
const ALERT_SILENCE_MS = 150

/** Half-life of how late the frames of a session were, in ms: overload lasts for seconds. */
const LATENESS_HALF_LIFE_MS = 5000

/** A session with what the monitor knows of it; times on the monitor's clock. */
class WatchedSession {
  sentAt: number
  receivedAt: number
  isSuspected = false
  /** Longest silence that was not suspicious since the last received frame, in ms. */
  private allowedMs = 0
  /** How much later than that frames have come lately, in ms, as of `lateAt`. */
  private lateMs = 0
  private lateAt = -Infinity
  /** When a probe was sent that no received frame has followed yet. */
  private probedAt: number | undefined
  private mayBeSuspectedFrom = -Infinity

  constructor (readonly session: MonitoredSession, now: number) {
    this.sentAt = now
    this.receivedAt = now
  }

  onReceived (now: number): void {
    // The other side's interval is a check shorter than the silence that is allowed.
    const lateMs = this.allowedMs > 0 ? now - this.receivedAt - this.allowedMs + CHECK_INTERVAL_MS : 0
    this.lateMs = Math.max(this.latenessMs(now), lateMs)
    this.lateAt = now
    this.allowedMs = 0
    this.receivedAt = now
    if (this.isSuspected) this.mayBeSuspectedFrom = now + FALSE_ALARM_PAUSE_MS
    this.isSuspected = false
    this.probedAt = undefined
  }

  /** Sends a probe, unless there is no answer yet to an earlier one; returns true if it did. */
  probe (now: number): boolean {
    if (this.isSuspected || this.probedAt !== undefined) return false
    this.probedAt = now
    this.session.sendProbe?.()
    return true
  }

  /**
   * True if the silence, or that after a probe, lasts longer than the other side needs even
   * if it is as late as lately: for an entry under load another connection is one more burden.
   */
  isSuspicious (now: number, suspectMs: number): boolean {
    this.allowedMs = Math.max(this.allowedMs, suspectMs)
    const latenessMs = this.latenessMs(now)
    const isProbeUnanswered = this.probedAt !== undefined && now - this.probedAt >= PROBE_TIMEOUT_MS + latenessMs
    return isProbeUnanswered || now - this.receivedAt >= suspectMs + latenessMs
  }

  private latenessMs (now: number): number {
    return this.lateMs > 0 ? this.lateMs * 0.5 ** ((now - this.lateAt) / LATENESS_HALF_LIFE_MS) : 0
  }

  suspect (now: number, silence: Silence): void {
    if (this.isSuspected || now < this.mayBeSuspectedFrom || this.session.isReplaceable?.() !== true) return
    this.isSuspected = true
    this.session.onSuspected?.(silence)
  }
}

/**
 * Sends keep-alive frames on the sessions of a process and reports those that are
 * silent: first as suspected, then as timed out. One timer serves all sessions: a timer
 * for each would cost a process with hundreds of sessions a wake-up for each.
 */
export class KeepAliveMonitor {
  private readonly watched = new Set<WatchedSession>()
  private timer: NodeJS.Timeout | undefined
  private checkedAt = 0
  private alertUntil = -Infinity

  /**
   * @param options - intervals and timeouts
   * @param now - monotonic clock, in ms
   */
  constructor (private readonly options: KeepAliveOptions, private readonly now: () => number = () => performance.now()) {}

  /** Watches a session until the returned watch is stopped. */
  watch (session: MonitoredSession): SessionWatch {
    const watched = new WatchedSession(session, this.now())
    this.watched.add(watched)
    this.timer ??= this.startChecks()
    return {
      onSent: () => { watched.sentAt = this.now() },
      onReceived: () => watched.onReceived(this.now()),
      isSuspected: () => watched.isSuspected,
      stop: () => this.stop(watched)
    }
  }

  /**
   * The connection of a session has gone silent. Others of this process may have, too, so
   * all are probed now, and again for a while whenever nothing arrives on them.
   */
  onSilent (): void {
    const now = this.now()
    this.alertUntil = now + ALERT_MS
    this.probe(now, [...this.watched])
  }

  private probe (now: number, sessions: WatchedSession[]): void {
    const probed = sessions.filter((watched) => watched.probe(now))
    if (probed.length > 0) setTimeout(() => this.check(), PROBE_TIMEOUT_MS)
  }

  private stop (watched: WatchedSession): void {
    this.watched.delete(watched)
    if (this.watched.size > 0) return
    clearInterval(this.timer)
    this.timer = undefined
  }

  private startChecks (): NodeJS.Timeout {
    this.checkedAt = this.now()
    return setInterval(() => this.check(), CHECK_INTERVAL_MS)
  }

  private check (): void {
    const now = this.now()
    // After a pause of this process, frames that arrived meanwhile are read only after this check.
    const wasPaused = now - this.checkedAt >= 2 * CHECK_INTERVAL_MS
    this.checkedAt = now
    for (const watched of [...this.watched]) this.checkSession(watched, now, wasPaused)
    if (now < this.alertUntil && !wasPaused) this.probe(now, [...this.watched].filter(({ receivedAt }) => now - receivedAt >= ALERT_SILENCE_MS))
  }

  private checkSession (watched: WatchedSession, now: number, wasPaused: boolean): void {
    const { session, sentAt, receivedAt } = watched
    const isBusy = session.isBusy()
    const { keepAliveMs, suspectMs = Infinity, timeoutMs } = isBusy ? this.options.busy : this.options.idle
    const silence = { silentMs: now - receivedAt, isBusy }
    if (silence.silentMs > timeoutMs) return session.onTimeout(silence)
    // Many connections more are a burden to an entry under load, unless connections are known to go silent.
    const mayBeLate = wasPaused || (session.isPeerLoaded?.() === true && now >= this.alertUntil)
    if (watched.isSuspicious(now, suspectMs) && !mayBeLate) watched.suspect(now, silence)
    if (now - sentAt >= keepAliveMs - CHECK_INTERVAL_MS / 2) session.sendKeepAlive()
  }
}
