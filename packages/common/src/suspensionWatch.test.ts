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

describe('a look at the clocks', () => {
  const cases: Array<{ name: string, hasBoot?: boolean, changes: ClockChange[], expected: Suspension[] }> = [
    { name: 'time that all of them count', changes: [{ steady: 3000, wall: 3000, boot: 3000 }], expected: [] },
    { name: 'a suspension', changes: [{ steady: 40, wall: 3040, boot: 3040 }], expected: [{ gainedMs: 3000, steadyMs: 40, isCertain: true }] },
    { name: 'a suspension, without the time since the start', hasBoot: false, changes: [{ steady: 40, wall: 3040 }], expected: [{ gainedMs: 3000, steadyMs: 40, isCertain: false }] },
    { name: 'a suspension that the time since the start does not show', changes: [{ steady: 40, wall: 3040, boot: 40 }], expected: [{ gainedMs: 3000, steadyMs: 40, isCertain: false }] },
    { name: 'a step ahead', changes: [{ steady: 40, wall: 3_600_040, boot: 40 }], expected: [{ gainedMs: 3_600_000, steadyMs: 40, isCertain: false }] },
    { name: 'a step back', changes: [{ steady: 40, wall: -3_600_000, boot: 40 }], expected: [] },
    { name: 'a step back, without the time since the start', hasBoot: false, changes: [{ steady: 40, wall: -3_600_000 }], expected: [] },
    {
      name: 'a suspension behind a step back',
      changes: [{ steady: 40, wall: -3_600_000, boot: 40 }, { steady: 40, wall: 540, boot: 540 }],
      expected: [{ gainedMs: 500, steadyMs: 40, isCertain: true }]
    },
    {
      name: 'a step back by less than the suspension meanwhile',
      changes: [{ steady: 40, wall: 140, boot: 3040 }],
      expected: [{ gainedMs: 100, steadyMs: 40, isCertain: true }]
    },
    {
      name: 'a step back by more than the suspension meanwhile',
      changes: [{ steady: 40, wall: -1960, boot: 3040 }],
      expected: [{ gainedMs: -2000, steadyMs: 40, isCertain: true }]
    },
    {
      name: 'two suspensions',
      changes: [{ steady: 40, wall: 340, boot: 340 }, { steady: 40, wall: 340, boot: 340 }],
      expected: [{ gainedMs: 300, steadyMs: 40, isCertain: true }, { gainedMs: 300, steadyMs: 40, isCertain: true }]
    },
    {
      name: 'a step ahead behind a suspension',
      changes: [{ steady: 40, wall: 340, boot: 340 }, { steady: 40, wall: 340, boot: 40 }],
      expected: [{ gainedMs: 300, steadyMs: 40, isCertain: true }, { gainedMs: 300, steadyMs: 40, isCertain: false }]
    },
    { name: 'slow drift, look by look', changes: Array.from({ length: 1000 }, () => ({ steady: 100, wall: 105, boot: 100 })), expected: [] },
    { name: 'coarse readings', changes: Array.from({ length: 100 }, (_, at) => ({ steady: 10, wall: at % 2 === 0 ? 0 : 20, boot: 10 })), expected: [] }
  ]
  it.each(cases)('$name', ({ hasBoot, changes, expected }) => {
    const clocks = new FakeClocks(hasBoot)
    for (const change of changes) clocks.advance(change)
    expect(clocks.suspensions).toEqual(expected)
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
    const suspensions: Suspension[] = []
    const now = (): number => {
      if (++readings === at) {
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
