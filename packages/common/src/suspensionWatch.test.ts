import { describe, expect, it } from 'vitest'
import { SuspensionWatch } from './suspensionWatch.js'
import type { Suspension } from './suspensionWatch.js'

interface ClockChange {
  steady?: number
  wall?: number
  boot?: number
}

/** Clocks that a test moves apart. */
class FakeClocks {
  steady = 1000
  wall = 1_000_000
  boot: number | undefined = 5000
  /** Passes between any two readings, as where the process is held up. */
  msPerReading = 0
  readonly suspensions: Suspension[] = []
  readonly watch: SuspensionWatch

  constructor (hasBoot = true) {
    if (!hasBoot) this.boot = undefined
    this.watch = new SuspensionWatch({ now: this.now, wallNow: this.wallNow, bootNow: () => this.boot })
    this.watch.onSuspended((suspension) => this.suspensions.push(suspension))
  }

  /** Moves the clocks on, each by its own amount, and looks. */
  advance ({ steady = 0, wall: day = 0, boot = 0 }: ClockChange): void {
    this.steady += steady
    this.wall += day
    if (this.boot !== undefined) this.boot += boot
    this.watch.check()
  }

  private readonly now = (): number => {
    this.delayReading()
    return this.steady
  }

  private readonly wallNow = (): number => {
    this.delayReading()
    return Math.floor(this.wall)
  }

  private delayReading (): void {
    this.steady += this.msPerReading
    this.wall += this.msPerReading
  }
}

describe('a look at the clocks', () => {
  const cases: Array<{ name: string, hasBoot?: boolean, times: ClockChange[], seen: Suspension[] }> = [
    { name: 'time that all of them count', times: [{ steady: 3000, wall: 3000, boot: 3000 }], seen: [] },
    { name: 'a suspension', times: [{ steady: 40, wall: 3040, boot: 3040 }], seen: [{ gainedMs: 3000, steadyMs: 40, isCertain: true }] },
    { name: 'a suspension, without the time since the start', hasBoot: false, times: [{ steady: 40, wall: 3040 }], seen: [{ gainedMs: 3000, steadyMs: 40, isCertain: false }] },
    { name: 'a suspension that the time since the start does not show', times: [{ steady: 40, wall: 3040, boot: 40 }], seen: [{ gainedMs: 3000, steadyMs: 40, isCertain: false }] },
    { name: 'a step ahead', times: [{ steady: 40, wall: 3_600_040, boot: 40 }], seen: [{ gainedMs: 3_600_000, steadyMs: 40, isCertain: false }] },
    { name: 'a step back', times: [{ steady: 40, wall: -3_600_000, boot: 40 }], seen: [] },
    { name: 'a step back, without the time since the start', hasBoot: false, times: [{ steady: 40, wall: -3_600_000 }], seen: [] },
    {
      name: 'a suspension behind a step back',
      times: [{ steady: 40, wall: -3_600_000, boot: 40 }, { steady: 40, wall: 540, boot: 540 }],
      seen: [{ gainedMs: 500, steadyMs: 40, isCertain: true }]
    },
    {
      name: 'a step back by less than the suspension meanwhile',
      times: [{ steady: 40, wall: 140, boot: 3040 }],
      seen: [{ gainedMs: 100, steadyMs: 40, isCertain: true }]
    },
    {
      name: 'a step back by more than the suspension meanwhile',
      times: [{ steady: 40, wall: -1960, boot: 3040 }],
      seen: [{ gainedMs: -2000, steadyMs: 40, isCertain: true }]
    },
    {
      name: 'two suspensions',
      times: [{ steady: 40, wall: 340, boot: 340 }, { steady: 40, wall: 340, boot: 340 }],
      seen: [{ gainedMs: 300, steadyMs: 40, isCertain: true }, { gainedMs: 300, steadyMs: 40, isCertain: true }]
    },
    {
      name: 'a step ahead behind a suspension',
      times: [{ steady: 40, wall: 340, boot: 340 }, { steady: 40, wall: 340, boot: 40 }],
      seen: [{ gainedMs: 300, steadyMs: 40, isCertain: true }, { gainedMs: 300, steadyMs: 40, isCertain: false }]
    },
    { name: 'slow drift, look by look', times: Array.from({ length: 1000 }, () => ({ steady: 100, day: 105, boot: 100 })), seen: [] },
    { name: 'coarse readings', times: Array.from({ length: 100 }, (_, at) => ({ steady: 10, day: at % 2 === 0 ? 0 : 20, boot: 10 })), seen: [] }
  ]
  it.each(cases)('$name', ({ hasBoot, times, seen }) => {
    const clocks = new FakeClocks(hasBoot)
    for (const part of times) clocks.advance(part)
    expect(clocks.suspensions).toEqual(seen)
  })

  it('a process that is held up between all the readings is certain of nothing', () => {
    const clocks = new FakeClocks()
    for (const ms of [2, 500, 0, 100, 0]) {
      clocks.msPerReading = ms
      clocks.advance({ steady: 10, wall: 10, boot: 10 })
    }
    expect(clocks.suspensions.filter(({ isCertain }) => isCertain)).toEqual([])
  })

  it.each([2, 3, 4, 5, 6, 7])('one that stands still once, at reading %i, notices nothing', (at) => {
    const clocks = new FakeClocks()
    let readings = 0
    const seen: Suspension[] = []
    const now = (): number => {
      if (++readings === at) {
        clocks.steady += 700
        clocks.wall += 700
      }
      return clocks.steady
    }
    const watch = new SuspensionWatch({ now, wallNow: () => clocks.wall })
    watch.onSuspended((suspension) => seen.push(suspension))
    for (let looks = 0; looks < 5; looks++) watch.check()
    expect(seen).toEqual([])
  })
})
