import { createFakeClock } from '../../coordination/tests/fakeClock.js'
import { describe, expect, it } from 'vitest'
import { Neighbours } from './neighbours.js'

const OTHERS = ['z1', 'z1', 'z2', 'z2', 'z3'].map((zone, index) => ({ address: `e${index}:1`, zone }))

interface State { needsStreams: boolean, outstandingJobs: number, refusing: Set<string> }

const start = (others = OTHERS) => {
  const clock = createFakeClock()
  const state: State = { needsStreams: false, outstandingJobs: 0, refusing: new Set() }
  const open = new Set<string>()
  let dials = 0
  const neighbours = new Neighbours({
    clock,
    zone: 'z1',
    score: (address) => -Number(address[1]),
    others: () => others,
    needsStreams: () => state.needsStreams,
    outstandingJobs: () => state.outstandingJobs,
    dial: async ({ address }, signal) => {
      dials++
      if (state.refusing.has(address)) return
      open.add(address)
      await new Promise<void>((resolve) => { signal.addEventListener('abort', () => resolve()) })
      open.delete(address)
    }
  })
  const sweep = async (): Promise<string[]> => {
    neighbours.sweep()
    await new Promise((resolve) => setImmediate(resolve))
    clock.advance(25)
    return [...open].sort()
  }
  return { state, sweep, clock, dials: () => dials, neighbours }
}

describe('streams to neighbours', () => {
  it('opens none while none is needed', async () => {
    const { sweep, dials } = start()
    expect(await sweep()).toEqual([])
    expect(dials()).toBe(0)
  })

  const cases: Array<{ name: string, others?: typeof OTHERS, refusing?: string[], expected: string[] }> = [
    { name: 'one neighbour of the own zone and two of others', expected: ['e0:1', 'e2:1', 'e3:1'] },
    { name: 'another neighbour in place of one whose stream ends at once', refusing: ['e0:1'], expected: ['e1:1', 'e2:1', 'e3:1'] },
    { name: 'all neighbours where there are fewer than three', others: OTHERS.slice(0, 2), expected: ['e0:1', 'e1:1'] },
    { name: 'none where there is no other entry', others: [], expected: [] }
  ]
  it.each(cases)('opens streams, while needed, to $name', async ({ others, refusing = [], expected }) => {
    const { state, sweep } = start(others)
    state.needsStreams = true
    for (const address of refusing) state.refusing.add(address)
    await sweep()
    expect(await sweep()).toEqual(expected)
  })

  it('ends all streams once they are not needed and no job is outstanding', async () => {
    const { state, sweep } = start()
    state.needsStreams = true
    state.outstandingJobs = 1
    await sweep()
    state.needsStreams = false
    expect(await sweep()).toHaveLength(3)
    state.outstandingJobs = 0
    expect(await sweep()).toEqual([])
  })

  it('dials a neighbour that refused again only after the delay', async () => {
    const { state, sweep, dials, clock } = start(OTHERS.slice(0, 1))
    state.needsStreams = true
    state.refusing.add('e0:1')
    for (let count = 0; count < 10; count++) await sweep()
    expect(dials()).toBe(1)
    clock.advance(2000)
    await sweep()
    expect(dials()).toBe(2)
  })
})
