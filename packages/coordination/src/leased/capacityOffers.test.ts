import { describe, expect, it } from 'vitest'
import type { Resources } from '@hazellift/decisions'
import { CapacityOffers } from './capacityOffers.js'
import type { LeasedSession } from './hostSessions.js'

// An endpoint near the limit of what is scarce sent a frame to each of its entries with almost every start.

const CAPACITY_CPU = 16_000
const of = (share: number): Resources => ({ cpuMilli: CAPACITY_CPU * share, memoryMb: 8000 })

describe('frames that tell entries that capacity has become scarce', () => {
  const cases: Array<{ name: string, told: number[], free: number, frames: number[] }> = [
    { name: 'none while there is plenty', told: [0.9, 0.9], free: 0.3, frames: [0, 0] },
    { name: 'one to each that was told of much more', told: [0.9, 0.5], free: 0.2, frames: [1, 1] },
    { name: 'none to those that know of scarcity', told: [0.9, 0.2], free: 0.05, frames: [1, 0] },
    { name: 'none for the difference of a task', told: [0.3, 0.26, 0.25], free: 0.2, frames: [0, 0, 0] },
    { name: 'one once the difference has grown', told: [0.3, 0.26, 0.25], free: 0.125, frames: [1, 1, 1] }
  ]
  it.each(cases)('$name', ({ told, free, frames }) => {
    const sent = told.map(() => 0)
    const sessions = new Map(told.map((share, index) => [`e${index}`, { demandPriority: undefined, reportedCapacity: of(share), add: () => { sent[index]!++ } } as unknown as LeasedSession]))
    const offers = new CapacityOffers({ clock: { now: () => 0, after: () => () => {} } as never, sessions, freeCapacity: () => of(free), capacity: () => of(1) })
    offers.onStarts('e0')
    expect(sent).toEqual(frames)
  })
})
