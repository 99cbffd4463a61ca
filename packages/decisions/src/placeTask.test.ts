import { describe, expect, it } from 'vitest'
import { jobView, placeView } from '../tests/views.js'
import { placeTask } from './placeTask.js'
import type { PlaceContext, PlaceView } from './placeTask.js'

type Agents = Record<string, Parameters<typeof placeView>[0]>
type Named = PlaceView & { id: string }

const NOW = 0
const choose = (agents: Agents, { aside = [], avoided = [], near, random = () => 0 }: { aside?: string[], avoided?: string[], near?: string, random?: () => number } = {}): string | undefined => {
  const named: Named[] = Object.entries(agents).map(([id, agent]) => ({ id, ...placeView(agent) }))
  const context: PlaceContext<Named> = {
    now: NOW,
    zone: 'here',
    random,
    maySend: ({ id }) => !aside.includes(id),
    isAvoided: ({ id }) => avoided.includes(id),
    preferred: named.find(({ id }) => id === near)
  }
  return placeTask(named, jobView(), context)?.id
}

describe('where a task goes', () => {
  const cases: Array<{ name: string, agents: Agents, aside?: string[], avoided?: string[], near?: string, expected: string | undefined }> = [
    { name: 'nowhere without room', agents: { a: { rooms: 0 } }, expected: undefined },
    { name: 'to its own availability zone', agents: { a: { zone: 'there' }, b: {} }, expected: 'b' },
    { name: 'elsewhere rather than to a last place', agents: { a: { rooms: 1 }, b: { zone: 'there' } }, expected: 'b' },
    { name: 'not to a last place that was told a while ago', agents: { a: { rooms: 1, receivedAt: -20 } }, expected: undefined },
    { name: 'not to an agent that has been silent', agents: { a: { receivedAt: -500 } }, expected: undefined },
    { name: 'not to an endpoint that is set aside', agents: { a: {} }, aside: ['a'], expected: undefined },
    { name: 'rather not where a run of it has failed', agents: { a: {}, b: { zone: 'there' } }, avoided: ['a'], expected: 'b' },
    { name: 'to a last place rather than to a slow endpoint', agents: { a: { rooms: 1 }, b: { slowness: 1.5 } }, expected: 'a' },
    { name: 'nowhere if the only endpoint is too slow to be of use', agents: { a: { slowness: 7 } }, expected: undefined },
    { name: 'with the other tasks of its job', agents: { a: {}, b: {} }, near: 'b', expected: 'b' }
  ]
  it.each(cases)('$name', ({ agents, aside, avoided, near, expected }) => {
    expect(choose(agents, { aside, avoided, near })).toBe(expected)
  })

  it('to the roomier of two that are alike', () => {
    const draws = [0, 0.9]
    expect(choose({ full: { rooms: 2 }, empty: { rooms: 9 } }, { random: () => draws.shift()! })).toBe('empty')
  })
})
