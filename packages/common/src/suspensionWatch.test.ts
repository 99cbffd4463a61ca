import { describe, expect, it } from 'vitest'
import { SuspensionWatch } from './suspensionWatch.js'
import type { Suspension } from './suspensionWatch.js'

interface ClockChange {
  steady?: number
  wall?: number
  boot?: number
}

/** Clocks that a test advances by different amounts. */
class FakeClocks {
  steady = 1000
  wall = 1_000_000
  boot: number | undefined = 5000
  /** Time that passes before each reading, as when the process is delayed. */
  msPerReading = 0
  readonly suspensions: Suspension[] = []
  readonly watch: SuspensionWatch

  constructor (hasBoot = true) {
    if (!hasBoot) this.boot = undefined
    this.watch = new SuspensionWatch({ now: this.now, wallNow: this.wallNow, bootNow: () => this.boot })
    this.watch.onSuspended((suspension) => this.suspensions.push(suspension))
  }

  /** Advances each clock by its own amount, then checks. */
  advance ({ steady = 0, wall = 0, boot = 0 }: ClockChange): void {
    this.steady += steady
    this.wall += wall
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

describe('SuspensionWatch', () => {
  const cases: Array<{ name: string, hasBoot?: boolean, changes: ClockChange[], expected: Suspension[] }> = [
    { name: 'nothing is reported if all clocks advance alike', changes: [{ steady: 3000, wall: 3000, boot: 3000 }], expected: [] },
    { name: 'a suspension that the wall clock and the time since boot count is certain', changes: [{ steady: 40, wall: 3040, boot: 3040 }], expected: [{ gainedMs: 3000, steadyMs: 40, isCertain: true }] },
    { name: 'a suspension is uncertain if the time since boot cannot be read', hasBoot: false, changes: [{ steady: 40, wall: 3040 }], expected: [{ gainedMs: 3000, steadyMs: 40, isCertain: false }] },
    { name: 'a suspension is uncertain if the time since boot does not count it', changes: [{ steady: 40, wall: 3040, boot: 40 }], expected: [{ gainedMs: 3000, steadyMs: 40, isCertain: false }] },
    { name: 'a forward step of the wall clock is reported as uncertain', changes: [{ steady: 40, wall: 3_600_040, boot: 40 }], expected: [{ gainedMs: 3_600_000, steadyMs: 40, isCertain: false }] },
    { name: 'a backward step of the wall clock is not reported', changes: [{ steady: 40, wall: -3_600_000, boot: 40 }], expected: [] },
    { name: 'a backward step is not reported if the time since boot cannot be read', hasBoot: false, changes: [{ steady: 40, wall: -3_600_000 }], expected: [] },
    {
      name: 'a suspension after a backward step is certain',
      changes: [{ steady: 40, wall: -3_600_000, boot: 40 }, { steady: 40, wall: 540, boot: 540 }],
      expected: [{ gainedMs: 500, steadyMs: 40, isCertain: true }]
    },
    {
      name: 'a suspension with a smaller backward step is certain',
      changes: [{ steady: 40, wall: 140, boot: 3040 }],
      expected: [{ gainedMs: 100, steadyMs: 40, isCertain: true }]
    },
    {
      name: 'a suspension with a larger backward step is certain',
      changes: [{ steady: 40, wall: -1960, boot: 3040 }],
      expected: [{ gainedMs: -2000, steadyMs: 40, isCertain: true }]
    },
    {
      name: 'each of two suspensions is reported',
      changes: [{ steady: 40, wall: 340, boot: 340 }, { steady: 40, wall: 340, boot: 340 }],
      expected: [{ gainedMs: 300, steadyMs: 40, isCertain: true }, { gainedMs: 300, steadyMs: 40, isCertain: true }]
    },
    {
      name: 'a forward step after a suspension is uncertain',
      changes: [{ steady: 40, wall: 340, boot: 340 }, { steady: 40, wall: 340, boot: 40 }],
      expected: [{ gainedMs: 300, steadyMs: 40, isCertain: true }, { gainedMs: 300, steadyMs: 40, isCertain: false }]
    },
    { name: 'slow drift does not add up over many checks', changes: Array.from({ length: 1000 }, () => ({ steady: 100, wall: 105, boot: 100 })), expected: [] },
    { name: 'coarse readings of the wall clock are not reported', changes: Array.from({ length: 100 }, (_, index) => ({ steady: 10, wall: index % 2 === 0 ? 0 : 20, boot: 10 })), expected: [] }
  ]
  it.each(cases)('$name', ({ hasBoot, changes, expected }) => {
    const clocks = new FakeClocks(hasBoot)
    for (const change of changes) clocks.advance(change)
    expect(clocks.suspensions).toEqual(expected)
  })

  it('delays between all readings are never reported as a certain suspension', () => {
    const clocks = new FakeClocks()
    for (const ms of [2, 500, 0, 100, 0]) {
      clocks.msPerReading = ms
      clocks.advance({ steady: 10, wall: 10, boot: 10 })
    }
    expect(clocks.suspensions.filter(({ isCertain }) => isCertain)).toEqual([])
  })

  it.each([2, 3, 4, 5, 6, 7])('a single delay at reading %i is not reported', (delayedReading) => {
    const clocks = new FakeClocks()
    let readings = 0
    const suspensions: Suspension[] = []
    const now = (): number => {
      if (++readings === delayedReading) {
        clocks.steady += 700
        clocks.wall += 700
      }
      return clocks.steady
    }
    const watch = new SuspensionWatch({ now, wallNow: () => clocks.wall })
    watch.onSuspended((suspension) => suspensions.push(suspension))
    for (let checks = 0; checks < 5; checks++) watch.check()
    expect(suspensions).toEqual([])
  })
})
