import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { KeepAliveMonitor } from './keepAliveMonitor.js'

const OPTIONS = { busy: { keepAliveMs: 150, suspectMs: 250, timeoutMs: 500 }, idle: { keepAliveMs: 300, suspectMs: 500, timeoutMs: 1000 } }

interface Case {
  name: string
  lengthMs: number
  /** When frames other than keep-alive frames are sent. */
  sentAt?: number[]
  /** When frames are received; every 100 ms if unset. */
  receivedAt?: number[]
  /** From when the session is busy; never if unset. */
  busyFrom?: number
  /** This process does not run between these times; timers go on afterwards as if no time had passed. */
  paused?: [number, number]
  /** From when another session may be opened beside it; always if unset. */
  openFrom?: number
  /** The other side has said that it is under load. */
  isPeerLoaded?: boolean
  /** When the connection of another session has proved to be silent. */
  probedAt?: number
  keepAlivesAt: number[]
  suspectedAt?: number[]
  timedOutAt?: number
}

describe('keep-alive frames and timeouts', () => {
  beforeEach(() => { vi.useFakeTimers() })
  afterEach(() => { vi.useRealTimers() })
  const cases: Case[] = [
    { name: 'a busy session sends a keep-alive frame every busy interval', lengthMs: 500, busyFrom: 0, keepAlivesAt: [150, 300, 450] },
    { name: 'an idle session sends a keep-alive frame every idle interval', lengthMs: 700, keepAlivesAt: [300, 600] },
    { name: 'no keep-alive frame is sent while other frames are sent more often', lengthMs: 450, busyFrom: 0, sentAt: [100, 200, 300, 400], keepAlivesAt: [] },
    { name: 'the next keep-alive frame is sent a whole interval after the last frame', lengthMs: 420, busyFrom: 0, sentAt: [100], keepAlivesAt: [250, 400] },
    { name: 'a session that becomes busy uses the shorter interval from the next check on', lengthMs: 300, busyFrom: 190, keepAlivesAt: [200] },
    { name: 'a busy session times out after the busy timeout', lengthMs: 600, busyFrom: 0, receivedAt: [0], keepAlivesAt: [150, 300, 450], suspectedAt: [250], timedOutAt: 550 },
    { name: 'an idle session times out after the idle timeout', lengthMs: 1100, receivedAt: [0], keepAlivesAt: [300, 600, 900], suspectedAt: [500], timedOutAt: 1050 },
    { name: 'a session is suspected if it does not answer a probe', lengthMs: 400, receivedAt: [0], probedAt: 220, keepAlivesAt: [300], suspectedAt: [270] },
    { name: 'a session that answers a probe is not suspected', lengthMs: 400, receivedAt: [0, 225, 380], probedAt: 220, keepAlivesAt: [300] },
    { name: 'after another connection went silent, a silence is found sooner for three seconds', lengthMs: 3500, receivedAt: [0, 225, ...Array.from({ length: 25 }, (_, index) => 300 + 100 * index)], probedAt: 220, keepAlivesAt: Array.from({ length: 11 }, (_, index) => 300 * (index + 1)), suspectedAt: [2900] },
    { name: 'and after that as usual', lengthMs: 4000, receivedAt: [0, 225, ...Array.from({ length: 33 }, (_, index) => 300 + 100 * index)], probedAt: 220, keepAlivesAt: Array.from({ length: 13 }, (_, index) => 300 * (index + 1)), suspectedAt: [4000] },
    { name: 'a session that opened late is suspected like any other', lengthMs: 1000, openFrom: 390, busyFrom: 0, receivedAt: [0, 390], keepAlivesAt: [150, 300, 450, 600, 750], suspectedAt: [850], timedOutAt: 900 },
    { name: 'a session whose frames came late lately is suspected later', lengthMs: 950, busyFrom: 0, receivedAt: [0, 240, 480], keepAlivesAt: [150, 300, 450, 600, 750, 900], suspectedAt: [800] },
    { name: 'a session of an entry under load is not suspected', lengthMs: 600, busyFrom: 0, isPeerLoaded: true, receivedAt: [0], keepAlivesAt: [150, 300, 450], timedOutAt: 550 },
    { name: 'but it is after another connection went silent', lengthMs: 600, busyFrom: 0, isPeerLoaded: true, receivedAt: [0], probedAt: 120, keepAlivesAt: [150, 300, 450], suspectedAt: [170], timedOutAt: 550 },
    { name: 'lateness fades while frames come in time, however often', lengthMs: 21_100, receivedAt: [0, 900, ...Array.from({ length: 978 }, (_, index) => 920 + 20 * index)], keepAlivesAt: Array.from({ length: 70 }, (_, index) => 300 * (index + 1)), suspectedAt: [500, 21_000] },
    { name: 'a suspicion that proved wrong is not repeated for five seconds', lengthMs: 6080, receivedAt: [0, 620, 1500, 2400, 3300, 4200, 5100], keepAlivesAt: Array.from({ length: 20 }, (_, index) => 300 * (index + 1)), suspectedAt: [500, 6000] },
    { name: 'a session is not suspected right after a pause of this process, whose frames are still to be read', lengthMs: 500, busyFrom: 0, receivedAt: [0, 160], paused: [140, 380], keepAlivesAt: [390] }
  ]
  it.each(cases)('$name', ({ lengthMs, sentAt = [], receivedAt, busyFrom = Infinity, paused: [pausedAt, resumedAt] = [Infinity, Infinity], openFrom = 0, isPeerLoaded = false, probedAt, keepAlivesAt, suspectedAt = [], timedOutAt }) => {
    const startedAt = Date.now()
    const passed = (): number => Date.now() - startedAt
    const keepAlives: number[] = []
    const suspected: number[] = []
    let timedOut: number | undefined
    const monitor = new KeepAliveMonitor(OPTIONS, Date.now)
    const watch = monitor.watch({
      isBusy: () => passed() >= busyFrom,
      sendKeepAlive: () => {
        keepAlives.push(passed())
        watch.onSent()
      },
      isReplaceable: () => passed() >= openFrom,
      isPeerLoaded: () => isPeerLoaded,
      onSuspected: () => { suspected.push(passed()) },
      onTimeout: () => { timedOut ??= passed() }
    })
    if (probedAt !== undefined) setTimeout(() => monitor.onSilent(), probedAt)
    for (const at of sentAt) setTimeout(watch.onSent, at)
    for (const at of receivedAt ?? Array.from({ length: 20 }, (_, index) => index * 100)) setTimeout(watch.onReceived, at)
    if (pausedAt < lengthMs) {
      vi.advanceTimersByTime(pausedAt)
      vi.setSystemTime(startedAt + resumedAt)
      vi.advanceTimersByTime(lengthMs - resumedAt)
    } else vi.advanceTimersByTime(lengthMs)
    watch.stop()
    vi.advanceTimersByTime(2000)
    expect({ keepAlives, suspected, timedOut }).toEqual({ keepAlives: keepAlivesAt, suspected: suspectedAt, timedOut: timedOutAt })
  })
})
