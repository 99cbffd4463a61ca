/** How often a side of a session shows that it lives, and how long it bears silence; in ms. */
export interface PulseTimes {
  keepAliveMs: number
  timeoutMs: number
}

/** What sessions of a process go by. */
export interface PulseOptions {
  /** While orders are out. */
  busy: PulseTimes
  /** While there are none. */
  idle: PulseTimes
}

/** One side of a session. */
export interface PulseMember {
  /** True while orders are out on it: both sides must notice soon if the other one is lost. */
  isBusy: () => boolean
  /** Sends a frame with nothing in it. */
  keepAlive: () => void
  /** The other side has been silent for too long. */
  giveUp: () => void
}

/** A session that is being watched. */
export interface Watched {
  /** A frame left: none of its own is due for a whole interval. */
  sent: () => void
  /** A frame arrived. */
  seen: () => void
  stop: () => void
}

/** How often sessions are looked at: a frame may be so much late, or early by half of it. */
const TICK_MS = 50
/**
 * Where one session is due, those that will be within this share of their interval
 * go with it. Their frames then leave in one wake-up of the process instead of one
 * each, and stay together: four idle sessions that began at different moments take
 * 11 wake-ups in 3 s instead of 37, four busy ones 22 instead of 58. A wake-up costs
 * most where hundreds of processes share a machine's caches. Frames of busy sessions
 * leave for other reasons, too, so that joining early adds more of them; less than
 * half for idle ones leaves two groups half an interval apart.
 */
const JOIN_SHARES = { busy: 1 / 3, idle: 1 / 2 } as const

interface Entry {
  member: PulseMember
  sentAt: number
  seenAt: number
}

/**
 * Keeps a process's sessions alive, and gives up those whose other side has
 * fallen silent: one timer for all, as hundreds of them by themselves cost a
 * wake-up each.
 */
export class Pulse {
  private readonly watched = new Set<Entry>()
  private timer: NodeJS.Timeout | undefined

  /**
   * @param options - intervals
   * @param now - in ms, never back
   */
  constructor (private readonly options: PulseOptions, private readonly now: () => number = () => performance.now()) {}

  /** Looks after a session until it is stopped. */
  watch (member: PulseMember): Watched {
    const entry = { member, sentAt: this.now(), seenAt: this.now() }
    this.watched.add(entry)
    this.timer ??= setInterval(() => this.tick(), TICK_MS)
    return {
      sent: () => { entry.sentAt = this.now() },
      seen: () => { entry.seenAt = this.now() },
      stop: () => this.stop(entry)
    }
  }

  private stop (entry: Entry): void {
    this.watched.delete(entry)
    if (this.watched.size > 0) return
    clearInterval(this.timer)
    this.timer = undefined
  }

  private tick (): void {
    const now = this.now()
    const joining: PulseMember[] = []
    let isAnyDue = false
    for (const { member, sentAt, seenAt } of this.watched) {
      const state = member.isBusy() ? 'busy' : 'idle'
      const { keepAliveMs, timeoutMs } = this.options[state]
      if (now - seenAt > timeoutMs) {
        member.giveUp()
        continue
      }
      const dueInMs = keepAliveMs - TICK_MS / 2 - (now - sentAt)
      if (dueInMs <= 0) isAnyDue = true
      if (dueInMs <= keepAliveMs * JOIN_SHARES[state]) joining.push(member)
    }
    if (isAnyDue) for (const member of joining) member.keepAlive()
  }
}
