import { describe, expect, it } from 'vitest'
import { KEEP_REASONS, MAX_HOSTED, MAX_OFFER_AGE_MS, MAX_REPORT_AGE_MS, findHostRefusal, handOn, isOverloaded, needsHelp } from './handOn.js'
import type { EntryLoadView, HandOnView, HostView, NeighbourView, OriginView } from './handOn.js'

const JOB = { count: 8, needMilli: 2000 }
const LIMITS = { maxOutstanding: 10, maxShare: 0.5 }

interface NamedNeighbour extends NeighbourView { name: string }

const neighbour = (name: string, overrides: Partial<NeighbourView> = {}): NamedNeighbour => ({
  name, zone: 'here', receivedAt: 0, isOpen: true, isStopping: false, lagMs: 1, waitMs: 0, freeMilli: 20_000, unreportedMilli: 0, ...overrides
})

const VIEW: HandOnView<NamedNeighbour> = {
  now: 0, zone: 'here', isOverloaded: true, own: { lagMs: 30, waitMs: 0, returnedShare: 0.2 }, neighbours: [neighbour('a')], outstanding: 0, share: 0
}

describe('handOn', () => {
  const cases: Array<{ name: string, view: Partial<HandOnView<NamedNeighbour>>, expected: string }> = [
    { name: 'a late entry whose starts are returned hands on', view: {}, expected: 'a' },
    { name: 'an entry whose jobs wait hands on', view: { own: { lagMs: 0, waitMs: 100, returnedShare: 0 } }, expected: 'a' },
    { name: 'a late entry whose starts are not returned gains nothing and keeps the job', view: { own: { lagMs: 30, waitMs: 0, returnedShare: 0 } }, expected: KEEP_REASONS.noGain },
    { name: 'an entry far beyond saturation hands on, even if no starts are returned', view: { own: { lagMs: 60, waitMs: 0, returnedShare: 0 } }, expected: 'a' },
    { name: 'an entry that is not overloaded keeps the job', view: { isOverloaded: false }, expected: KEEP_REASONS.notOverloaded },
    { name: 'a job is kept at the limit of outstanding jobs', view: { outstanding: 10 }, expected: KEEP_REASONS.outstanding },
    { name: 'a job is kept at the limit of the share of arrivals', view: { share: 0.5 }, expected: KEEP_REASONS.share },
    { name: 'a job is kept if no neighbour answers', view: { neighbours: [neighbour('a', { isOpen: false })] }, expected: KEEP_REASONS.noReport },
    { name: 'a job is kept if the load reports are too old', view: { now: MAX_REPORT_AGE_MS + 1 }, expected: KEEP_REASONS.noReport },
    { name: 'a neighbour that is stopping gets nothing', view: { neighbours: [neighbour('a', { isStopping: true })] }, expected: KEEP_REASONS.noReport },
    { name: 'a neighbour without free capacity for twice the job gets nothing', view: { neighbours: [neighbour('a', { freeMilli: 3999 })] }, expected: KEEP_REASONS.noGain },
    { name: 'work that a neighbour has not reported yet reduces its free capacity', view: { neighbours: [neighbour('a', { freeMilli: 5999, unreportedMilli: 2000 })] }, expected: KEEP_REASONS.noGain },
    { name: 'a neighbour that is overloaded gets nothing', view: { own: { lagMs: 99, waitMs: 0, returnedShare: 0.2 }, neighbours: [neighbour('a', { lagMs: 9 })] }, expected: KEEP_REASONS.noGain },
    { name: 'a job is kept if the trip costs more than it saves', view: { own: { lagMs: 4, waitMs: 0, returnedShare: 0.2 } }, expected: KEEP_REASONS.noGain },
    { name: 'of equal neighbours the one of the same zone gets the job', view: { neighbours: [neighbour('a', { zone: 'there' }), neighbour('b')] }, expected: 'b' },
    { name: 'a neighbour of another zone that is clearly better gets the job', view: { neighbours: [neighbour('a', { zone: 'there' }), neighbour('b', { lagMs: 7 })] }, expected: 'a' }
  ]
  it.each(cases)('$name', ({ view, expected }) => {
    const decision = handOn(JOB, { ...VIEW, ...view }, LIMITS)
    expect(decision.type === 'keep' ? decision.reason : decision.to.name).toBe(expected)
  })
})

describe('isOverloaded', () => {
  const cases: Array<{ name: string, own: EntryLoadView, wasOverloaded: boolean, expected: boolean }> = [
    { name: 'an idle entry is not overloaded', own: { lagMs: 1, waitMs: 0 }, wasOverloaded: false, expected: false },
    { name: 'a late entry becomes overloaded', own: { lagMs: 9, waitMs: 0 }, wasOverloaded: false, expected: true },
    { name: 'an entry whose jobs wait becomes overloaded', own: { lagMs: 0, waitMs: 31 }, wasOverloaded: false, expected: true },
    { name: 'an entry below the upper limits does not become overloaded', own: { lagMs: 7, waitMs: 20 }, wasOverloaded: false, expected: false },
    { name: 'an overloaded entry above a lower limit stays overloaded', own: { lagMs: 7, waitMs: 0 }, wasOverloaded: true, expected: true },
    { name: 'an overloaded entry at or below the lower limits recovers', own: { lagMs: 4, waitMs: 4 }, wasOverloaded: true, expected: false }
  ]
  it.each(cases)('$name', ({ own, wasOverloaded, expected }) => {
    expect(isOverloaded(own, wasOverloaded)).toBe(expected)
  })
})

describe('needsHelp', () => {
  const cases: Array<{ name: string, own: Partial<OriginView>, neededHelp?: boolean, expected: boolean }> = [
    { name: 'an idle entry needs no help', own: {}, expected: false },
    { name: 'a late entry whose starts are not returned needs no help', own: { lagMs: 15 }, expected: false },
    { name: 'a late entry whose starts are returned needs help', own: { lagMs: 15, returnedShare: 0.1 }, expected: true },
    { name: 'an entry whose starts are returned, but that is not late, needs no help', own: { lagMs: 2, returnedShare: 0.5 }, expected: false },
    { name: 'a saturated entry needs help', own: { lagMs: 31 }, expected: true },
    { name: 'an entry whose jobs wait needs help', own: { waitMs: 31 }, expected: true },
    { name: 'an entry that needed help and is above the lower limits still needs it', own: { lagMs: 5, returnedShare: 0.04 }, neededHelp: true, expected: true },
    { name: 'an entry that needed help needs none below a lower limit', own: { lagMs: 5, returnedShare: 0.02 }, neededHelp: true, expected: false }
  ]
  it.each(cases)('$name', ({ own, neededHelp = false, expected }) => {
    expect(needsHelp({ lagMs: 0, waitMs: 0, returnedShare: 0, ...own }, neededHelp)).toBe(expected)
  })
})

describe('findHostRefusal', () => {
  const view: HostView = { own: { lagMs: 1, waitMs: 0 }, isStopping: false, hosted: 0, aliveAt: 0, now: 0 }
  const cases: Array<{ name: string, overrides: Partial<HostView>, expected: string | undefined }> = [
    { name: 'an entry that is not overloaded hosts the job', overrides: {}, expected: undefined },
    { name: 'an entry that is stopping refuses', overrides: { isStopping: true }, expected: 'stopping' },
    { name: 'an offer is refused if the origin entry was not known alive recently', overrides: { now: MAX_OFFER_AGE_MS + 1 }, expected: 'stale' },
    { name: 'at the limit of hosted jobs an entry refuses', overrides: { hosted: MAX_HOSTED }, expected: 'hosted' },
    { name: 'an overloaded entry refuses', overrides: { own: { lagMs: 0, waitMs: 31 } }, expected: 'short' }
  ]
  it.each(cases)('$name', ({ overrides, expected }) => {
    expect(findHostRefusal({ ...view, ...overrides })).toBe(expected)
  })
})
