import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { judgeSuspect, leastLoaded } from './suspect.js'
import type { LossView, SuspectVerdict } from './suspect.js'

/** Parses a loss: a letter for the agent, a digit for the incarnation there, `?` if it only stopped answering, `!` if it crashed before the task was known to have begun, `*` if others crashed at the same time. */
const parseLoss = (text: string): LossView => ({
  agent: text[0]!, incarnation: text.slice(0, 2), isCrash: !text.includes('?'), hasBegun: !text.includes('!'), others: text.includes('*') ? 5 : 0
})

describe('judgeSuspect', () => {
  const cases: Array<{ name: string, losses: string, verdict: SuspectVerdict }> = [
    { name: 'no loss', losses: '', verdict: 'clear' },
    { name: 'one crash', losses: 'a1', verdict: 'suspect' },
    { name: 'crashes at two agents', losses: 'a1 b1', verdict: 'give_up' },
    { name: 'the same crash reported twice', losses: 'a1 a1', verdict: 'suspect' },
    { name: 'two crashes at one agent, which may be the cause', losses: 'a1 a2', verdict: 'suspect' },
    { name: 'four crashes at one agent', losses: 'a1 a2 a3 a4', verdict: 'suspect' },
    { name: 'five crashes at one agent', losses: 'a1 a2 a3 a4 a5', verdict: 'give_up' },
    { name: 'two crashes at one agent, and one at another during an outage', losses: 'a1 a2 b1*', verdict: 'give_up' },
    { name: 'two crashes, one of them during an outage', losses: 'a1* b1', verdict: 'suspect' },
    { name: 'two crashes during outages', losses: 'a1* b1*', verdict: 'suspect' },
    { name: 'three crashes during outages', losses: 'a1* b1* c1*', verdict: 'give_up' },
    { name: 'crashes at two agents, and one during an outage', losses: 'a1* b1 c1', verdict: 'give_up' },
    { name: 'one endpoint that stopped answering', losses: 'a1?', verdict: 'clear' },
    { name: 'two endpoints that stopped answering', losses: 'a1? b1?', verdict: 'clear' },
    { name: 'a crash, and one endpoint that stopped answering', losses: 'a1 b1?', verdict: 'suspect' },
    { name: 'an endpoint that stopped answering and had crashed, and another crash', losses: 'a1? a1 b1', verdict: 'give_up' },
    { name: 'a crash, and three endpoints that stopped answering', losses: 'a1 b1? c1? d1?', verdict: 'suspect' },
    { name: 'a crash, and four endpoints that stopped answering', losses: 'a1 b1? c1? d1? e1?', verdict: 'give_up' },
    { name: 'five incarnations that stopped answering', losses: 'a1? b1? c1? d1? e1?', verdict: 'give_up' },
    { name: 'one incarnation that stopped answering, reported five times', losses: 'a1? a1? a1? a1? a1?', verdict: 'clear' },
    { name: 'a crash before the task was known to have begun', losses: 'a1!', verdict: 'suspect' },
    { name: 'a crash, and one before the task was known to have begun', losses: 'a1 b1!', verdict: 'suspect' },
    { name: 'a crash, and three before the task was known to have begun', losses: 'a1 b1! c1! d1!', verdict: 'suspect' },
    { name: 'four crashes before the task was known to have begun', losses: 'a1! b1! c1! d1!', verdict: 'suspect' },
    { name: 'five crashes before the task was known to have begun', losses: 'a1! b1! c1! d1! e1!', verdict: 'give_up' },
    { name: 'crashes at two agents, and one before the task was known to have begun', losses: 'a1! b1 c1', verdict: 'give_up' },
    { name: 'a crash under one of two runs at an incarnation, and another crash', losses: 'a1! a1 b1', verdict: 'give_up' }
  ]
  it.each(cases)('$name: $verdict', ({ losses, verdict }) => {
    expect(judgeSuspect(losses.split(' ').filter((text) => text !== '').map(parseLoss))).toBe(verdict)
  })

  const lossesArbitrary = fc.array(fc.record({
    agent: fc.constantFrom('a', 'b', 'c', 'd'), number: fc.constantFrom('1', '2', '3', '4', '5', '6'), isCrash: fc.boolean(), hasBegun: fc.constant(true), others: fc.nat(6)
  }).map(({ agent, number, ...rest }) => ({ ...rest, agent, incarnation: agent + number })), { maxLength: 12 })
  it('a task is given up at the third crashed incarnation, unless all were at one agent, or the fifth lost one, and otherwise not before the second crash', () => {
    fc.assert(fc.property(lossesArbitrary, (losses) => {
      const crashed = new Set(losses.filter(({ isCrash }) => isCrash).map(({ incarnation }) => incarnation)).size
      const agents = new Set(losses.filter(({ isCrash }) => isCrash).map(({ agent }) => agent)).size
      const lost = new Set(losses.map(({ incarnation }) => incarnation)).size
      const verdict = judgeSuspect(losses)
      if ((crashed >= 3 && agents > 1) || lost >= 5) expect(verdict).toBe('give_up')
      if (crashed < 2 && lost < 5) expect(verdict).not.toBe('give_up')
    }), { seed: 31, numRuns: 2000 })
  })

  it('a task that is not known to have begun at two endpoints that crashed is not given up before the fifth lost incarnation, and is at the fifth', () => {
    const withUncertain = fc.array(fc.tuple(lossesArbitrary, fc.boolean()).map(([losses, hasBegun]) => losses.map((loss) => ({ ...loss, hasBegun }))), { maxLength: 3 }).map((parts) => parts.flat())
    fc.assert(fc.property(withUncertain, (losses) => {
      const crashedUnderIt = new Set(losses.filter(({ isCrash, hasBegun }) => isCrash && hasBegun).map(({ incarnation }) => incarnation)).size
      const lost = new Set(losses.map(({ incarnation }) => incarnation)).size
      if (lost >= 5) expect(judgeSuspect(losses)).toBe('give_up')
      if (crashedUnderIt < 2 && lost < 5) expect(judgeSuspect(losses)).not.toBe('give_up')
    }), { seed: 31, numRuns: 2000 })
  })

  it('a task that is given up stays so, whatever is reported later', () => {
    fc.assert(fc.property(lossesArbitrary, lossesArbitrary, (before, after) => {
      if (judgeSuspect(before) === 'give_up') expect(judgeSuspect([...before, ...after])).toBe('give_up')
    }), { seed: 31, numRuns: 2000 })
  })
})

describe('leastLoaded', () => {
  const agent = (name: string, freeMilli: number, overrides: { isAvoided?: boolean, hasSuspect?: boolean, memoryMb?: number } = {}) =>
    ({ name, capacity: { cpuMilli: 4000, memoryMb: 4000 }, freeCapacity: { cpuMilli: freeMilli, memoryMb: overrides.memoryMb ?? 4000 }, ...overrides })
  const cases = [
    { name: 'the agent with the least in use is chosen', agents: [agent('a', 1000), agent('b', 4000), agent('c', 2000)], expected: ['b'] },
    { name: 'all agents that differ by less than the task\'s need are chosen', agents: [agent('a', 1000), agent('b', 4000), agent('c', 3500)], expected: ['b', 'c'] },
    { name: 'an agent where an endpoint crashed under the task is avoided', agents: [agent('a', 1000), agent('b', 4000, { isAvoided: true })], expected: ['a'] },
    { name: 'an agent with another suspect task is avoided', agents: [agent('a', 1000), agent('b', 3000, { hasSuspect: true })], expected: ['a'] },
    { name: 'an agent with another suspect task is chosen if there is no other', agents: [agent('b', 3000, { hasSuspect: true })], expected: ['b'] },
    { name: 'an agent where the task does not fit is not chosen', agents: [agent('a', 900), agent('b', 4000, { memoryMb: 10 })], expected: [] }
  ]
  it.each(cases)('$name', ({ agents, expected }) => {
    const chosen = leastLoaded(agents, { cpuMilli: 1000, memoryMb: 100 }, {
      isAvoided: ({ isAvoided }) => isAvoided === true, hasSuspect: ({ hasSuspect }) => hasSuspect === true
    })
    expect(chosen.map(({ name }) => name)).toEqual(expected)
  })
})
