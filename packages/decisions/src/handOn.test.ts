import { describe, expect, it } from 'vitest'
import { KEEP_REASONS, MAX_HOSTED, MAX_REPORT_AGE_MS, MAX_OFFER_AGE_MS, findHostRefusal, handOn, needsHelp, isOverloaded } from './handOn.js'
import type { OriginView, HandOnView, HostView, NeighbourView, EntryLoadView } from './handOn.js'

const JOB = { count: 8, needMilli: 2000 }
const LIMITS = { maxOutstanding: 10, maxShare: 0.5 }

interface Named extends NeighbourView { name: string }

const neighbour = (name: string, more: Partial<NeighbourView> = {}): Named => ({
  name, zone: 'here', receivedAt: 0, isOpen: true, isStopping: false, lagMs: 1, waitMs: 0, freeMilli: 20_000, unreportedMilli: 0, ...more
})

const VIEW: HandOnView<Named> = {
  now: 0, zone: 'here', isOverloaded: true, own: { lagMs: 30, waitMs: 0, returnedShare: 0.2 }, neighbours: [neighbour('a')], outstanding: 0, share: 0
}

describe('handing a job on', () => {
  const cases: Array<{ name: string, view: Partial<HandOnView<Named>>, expected: string }> = [
    { name: 'a late entry whose starts come back hands on', view: {}, expected: 'a' },
    { name: 'one with a queue, too', view: { own: { lagMs: 0, waitMs: 100, returnedShare: 0 } }, expected: 'a' },
    { name: 'one that is late and finds the room it knows of gains nothing', view: { own: { lagMs: 30, waitMs: 0, returnedShare: 0 } }, expected: KEEP_REASONS.noGain },
    { name: 'unless it is so late that it has too little processor', view: { own: { lagMs: 60, waitMs: 0, returnedShare: 0 } }, expected: 'a' },
    { name: 'one that has time and room does not', view: { isOverloaded: false }, expected: KEEP_REASONS.notOverloaded },
    { name: 'no more at once than the bound', view: { outstanding: 10 }, expected: KEEP_REASONS.outstanding },
    { name: 'no larger share of arrivals than the bound', view: { share: 0.5 }, expected: KEEP_REASONS.share },
    { name: 'nothing where nobody answers', view: { neighbours: [neighbour('a', { isOpen: false })] }, expected: KEEP_REASONS.noReport },
    { name: 'nothing on old news', view: { now: MAX_REPORT_AGE_MS + 1 }, expected: KEEP_REASONS.noReport },
    { name: 'nothing to one that stops', view: { neighbours: [neighbour('a', { isStopping: true })] }, expected: KEEP_REASONS.noReport },
    { name: 'nothing to one without room for twice the job', view: { neighbours: [neighbour('a', { freeMilli: 3999 })] }, expected: KEEP_REASONS.noGain },
    { name: 'what went there since its news counts', view: { neighbours: [neighbour('a', { freeMilli: 5999, unreportedMilli: 2000 })] }, expected: KEEP_REASONS.noGain },
    { name: 'nothing to one that runs short itself', view: { own: { lagMs: 99, waitMs: 0, returnedShare: 0.2 }, neighbours: [neighbour('a', { lagMs: 9 })] }, expected: KEEP_REASONS.noGain },
    { name: 'nothing where the way costs more than it gains', view: { own: { lagMs: 4, waitMs: 0, returnedShare: 0.2 } }, expected: KEEP_REASONS.noGain },
    { name: 'the one of the same zone goes first', view: { neighbours: [neighbour('a', { zone: 'there' }), neighbour('b')] }, expected: 'b' },
    { name: 'another zone where that is clearly better', view: { neighbours: [neighbour('a', { zone: 'there' }), neighbour('b', { lagMs: 7 })] }, expected: 'a' }
  ]
  it.each(cases)('$name', ({ view, expected }) => {
    const decision = handOn(JOB, { ...VIEW, ...view }, LIMITS)
    expect(decision.type === 'keep' ? decision.reason : decision.to.name).toBe(expected)
  })
})

describe('running short', () => {
  const cases: Array<{ name: string, own: EntryLoadView, was: boolean, expected: boolean }> = [
    { name: 'an idle entry', own: { lagMs: 1, waitMs: 0 }, was: false, expected: false },
    { name: 'a late one', own: { lagMs: 9, waitMs: 0 }, was: false, expected: true },
    { name: 'one with a queue', own: { lagMs: 0, waitMs: 31 }, was: false, expected: true },
    { name: 'less is not enough to begin', own: { lagMs: 7, waitMs: 20 }, was: false, expected: false },
    { name: 'but enough to remain', own: { lagMs: 7, waitMs: 0 }, was: true, expected: true },
    { name: 'until it is over', own: { lagMs: 4, waitMs: 4 }, was: true, expected: false }
  ]
  it.each(cases)('$name', ({ own, was, expected }) => {
    expect(isOverloaded(own, was)).toBe(expected)
  })
})

describe('needing help', () => {
  const cases: Array<{ name: string, own: Partial<OriginView>, was?: boolean, expected: boolean }> = [
    { name: 'a calm entry', own: {}, expected: false },
    { name: 'a late one', own: { lagMs: 15 }, expected: false },
    { name: 'a late one whose starts come back', own: { lagMs: 15, returnedShare: 0.1 }, expected: true },
    { name: 'one whose starts come back, but is not late', own: { lagMs: 2, returnedShare: 0.5 }, expected: false },
    { name: 'a very late one', own: { lagMs: 31 }, expected: true },
    { name: 'one with a queue', own: { waitMs: 31 }, expected: true },
    { name: 'less is enough to go on', own: { lagMs: 5, returnedShare: 0.04 }, was: true, expected: true },
    { name: 'until that is over', own: { lagMs: 5, returnedShare: 0.02 }, was: true, expected: false }
  ]
  it.each(cases)('$name', ({ own, was = false, expected }) => {
    expect(needsHelp({ lagMs: 0, waitMs: 0, returnedShare: 0, ...own }, was)).toBe(expected)
  })
})

describe('taking another entry\'s job on', () => {
  const view: HostView = { own: { lagMs: 1, waitMs: 0 }, isStopping: false, hosted: 0, aliveAt: 0, now: 0 }
  const cases: Array<{ name: string, more: Partial<HostView>, expected: string | undefined }> = [
    { name: 'an entry with time and room takes it', more: {}, expected: undefined },
    { name: 'not while it stops', more: { isStopping: true }, expected: 'stopping' },
    { name: 'not from an entry that was not heard of lately', more: { now: MAX_OFFER_AGE_MS + 1 }, expected: 'stale' },
    { name: 'no more than the bound', more: { hosted: MAX_HOSTED }, expected: 'hosted' },
    { name: 'not if it runs short', more: { own: { lagMs: 0, waitMs: 31 } }, expected: 'short' }
  ]
  it.each(cases)('$name', ({ more, expected }) => {
    expect(findHostRefusal({ ...view, ...more })).toBe(expected)
  })
})
