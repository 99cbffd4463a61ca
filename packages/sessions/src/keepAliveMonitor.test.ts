import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { KeepAliveMonitor } from './keepAliveMonitor.js'

const OPTIONS = { busy: { keepAliveMs: 150, timeoutMs: 500 }, idle: { keepAliveMs: 300, timeoutMs: 1000 } }

interface Case {
  name: string
  lengthMs: number
  /** Frames that leave by themselves. */
  framesAt?: number[]
  /** Frames that arrive; every 100 ms if unset. */
  seenAt?: number[]
  busyFrom?: number
  keptAt: number[]
  givenUpAt?: number
}

describe('keep-alive frames and silence', () => {
  beforeEach(() => { vi.useFakeTimers() })
  afterEach(() => { vi.useRealTimers() })
  const cases: Case[] = [
    { name: 'a busy session shows that it lives at every interval', lengthMs: 500, busyFrom: 0, keptAt: [150, 300, 450] },
    { name: 'an idle one less often', lengthMs: 700, keptAt: [300, 600] },
    { name: 'nothing is added where other frames leave', lengthMs: 450, busyFrom: 0, framesAt: [100, 200, 300, 400], keptAt: [] },
    { name: 'a whole interval follows the last frame', lengthMs: 420, busyFrom: 0, framesAt: [100], keptAt: [250, 400] },
    { name: 'one that gets busy after a while shows it by the shorter interval at once', lengthMs: 300, busyFrom: 190, keptAt: [200] },
    { name: 'a busy one is given up soon', lengthMs: 600, busyFrom: 0, seenAt: [0], keptAt: [150, 300, 450], givenUpAt: 550 },
    { name: 'an idle one later', lengthMs: 1100, seenAt: [0], keptAt: [300, 600, 900], givenUpAt: 1050 }
  ]
  it.each(cases)('$name', ({ lengthMs, framesAt = [], seenAt, busyFrom = Infinity, keptAt, givenUpAt }) => {
    const startedAt = Date.now()
    const passed = (): number => Date.now() - startedAt
    const kept: number[] = []
    let given: number | undefined
    const watched = new KeepAliveMonitor(OPTIONS, Date.now).watch({
      isBusy: () => passed() >= busyFrom,
      sendKeepAlive: () => {
        kept.push(passed())
        watched.onSent()
      },
      onTimeout: () => { given ??= passed() }
    })
    for (const at of framesAt) setTimeout(watched.onSent, at)
    for (const at of seenAt ?? Array.from({ length: 20 }, (_, index) => index * 100)) setTimeout(watched.onReceived, at)
    vi.advanceTimersByTime(lengthMs)
    watched.stop()
    vi.advanceTimersByTime(2000)
    expect({ kept, given }).toEqual({ kept: keptAt, given: givenUpAt })
  })
})
