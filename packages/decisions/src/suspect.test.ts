import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { leastLoaded, judgeSuspect } from './suspect.js'
import type { LossView, SuspectVerdict } from './suspect.js'

/** A loss as written: the place, the life there, `?` if the endpoint fell silent only, `*` if others crashed at the same time. */
const loss = (text: string): LossView => ({
  agent: text[0]!, incarnation: text.slice(0, 2), isCrash: !text.includes('?'), others: text.includes('*') ? 5 : 0
})

describe('a task under which endpoints were lost', () => {
  const cases: Array<{ name: string, losses: string, verdict: SuspectVerdict }> = [
    { name: 'none', losses: '', verdict: 'clear' },
    { name: 'one crash', losses: 'a1', verdict: 'suspect' },
    { name: 'two crashes', losses: 'a1 b1', verdict: 'give_up' },
    { name: 'the same crash told twice', losses: 'a1 a1', verdict: 'suspect' },
    { name: 'two at one place, which may be the cause', losses: 'a1 a2', verdict: 'suspect' },
    { name: 'four at one place', losses: 'a1 a2 a3 a4', verdict: 'suspect' },
    { name: 'five at one place', losses: 'a1 a2 a3 a4 a5', verdict: 'give_up' },
    { name: 'two at one place, and one that fell together with others', losses: 'a1 a2 b1*', verdict: 'give_up' },
    { name: 'one of two fell together with others', losses: 'a1* b1', verdict: 'suspect' },
    { name: 'both fell together with others', losses: 'a1* b1*', verdict: 'suspect' },
    { name: 'three that fell together with others', losses: 'a1* b1* c1*', verdict: 'give_up' },
    { name: 'two beside one that fell with others', losses: 'a1* b1 c1', verdict: 'give_up' },
    { name: 'one silence', losses: 'a1?', verdict: 'clear' },
    { name: 'two silences', losses: 'a1? b1?', verdict: 'clear' },
    { name: 'a crash and a silence', losses: 'a1 b1?', verdict: 'suspect' },
    { name: 'a silence that turned out to be a crash', losses: 'a1? a1 b1', verdict: 'give_up' },
    { name: 'a crash and three silences', losses: 'a1 b1? c1? d1?', verdict: 'suspect' },
    { name: 'a crash and four silences', losses: 'a1 b1? c1? d1? e1?', verdict: 'give_up' },
    { name: 'five silences of different lives', losses: 'a1? b1? c1? d1? e1?', verdict: 'give_up' },
    { name: 'five silences of one life', losses: 'a1? a1? a1? a1? a1?', verdict: 'clear' }
  ]
  it.each(cases)('$name: $verdict', ({ losses, verdict }) => {
    expect(judgeSuspect(losses.split(' ').filter((text) => text !== '').map(loss))).toBe(verdict)
  })

  const views = fc.array(fc.record({
    place: fc.constantFrom('a', 'b', 'c', 'd'), number: fc.constantFrom('1', '2', '3', '4', '5', '6'), isCrash: fc.boolean(), others: fc.nat(6)
  }).map(({ place, number, ...more }) => ({ ...more, place, life: place + number })), { maxLength: 12 })
  it('is given up by the third life that crashed, unless all were at one place, by the fifth that was lost, and never before the second', () => {
    fc.assert(fc.property(views, (losses) => {
      const crashed = new Set(losses.filter(({ isCrash }) => isCrash).map(({ life }) => life)).size
      const places = new Set(losses.filter(({ isCrash }) => isCrash).map(({ place }) => place)).size
      const lost = new Set(losses.map(({ life }) => life)).size
      const verdict = judgeSuspect(losses)
      if ((crashed >= 3 && places > 1) || lost >= 5) expect(verdict).toBe('give_up')
      if (crashed < 2 && lost < 5) expect(verdict).not.toBe('give_up')
    }), { seed: 31, numRuns: 2000 })
  })

  it('stays given up whatever else is heard', () => {
    fc.assert(fc.property(views, views, (before, after) => {
      if (judgeSuspect(before) === 'give_up') expect(judgeSuspect([...before, ...after])).toBe('give_up')
    }), { seed: 31, numRuns: 2000 })
  })
})

describe('where a suspect goes', () => {
  const at = (name: string, freeMilli: number, more: { isAvoided?: boolean, hasSuspect?: boolean, memoryMb?: number } = {}) =>
    ({ name, capacity: { cpuMilli: 4000, memoryMb: 4000 }, room: { cpuMilli: freeMilli, memoryMb: more.memoryMb ?? 4000 }, ...more })
  const cases = [
    { name: 'the emptiest', agents: [at('a', 1000), at('b', 4000), at('c', 2000)], found: ['b'] },
    { name: 'all that differ by less than the task itself', agents: [at('a', 1000), at('b', 4000), at('c', 3500)], found: ['b', 'c'] },
    { name: 'rather not where an endpoint crashed under it', agents: [at('a', 1000), at('b', 4000, { isAvoided: true })], found: ['a'] },
    { name: 'rather not beside another suspect', agents: [at('a', 1000), at('b', 3000, { hasSuspect: true })], found: ['a'] },
    { name: 'beside one if there is no other place', agents: [at('b', 3000, { hasSuspect: true })], found: ['b'] },
    { name: 'only where it fits', agents: [at('a', 900), at('b', 4000, { memoryMb: 10 })], found: [] }
  ]
  it.each(cases)('$name', ({ agents, found }) => {
    const chosen = leastLoaded(agents, { cpuMilli: 1000, memoryMb: 100 }, {
      isAvoided: ({ isAvoided }) => isAvoided === true, hasSuspect: ({ hasSuspect }) => hasSuspect === true
    })
    expect(chosen.map(({ name }) => name)).toEqual(found)
  })
})
