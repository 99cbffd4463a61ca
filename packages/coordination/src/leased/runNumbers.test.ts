import { describe, expect, it } from 'vitest'
import { RunNumbers } from './runNumbers.js'

describe('run numbers', () => {
  const cases: Array<{ name: string, calls: Array<[task: string, tries: number]>, expected: number[] }> = [
    { name: 'ascend separately for each task', calls: [['a', 0], ['a', 0], ['b', 0]], expected: [1, 2, 1] },
    { name: 'skip twice as many numbers with each rejected try', calls: [['a', 0], ['a', 1], ['a', 2]], expected: [1, 3, 7] },
    { name: 'continue after the skipped ones', calls: [['a', 0], ['a', 1], ['a', 0]], expected: [1, 3, 4] },
    { name: 'restart at 1 for a forgotten task', calls: [['a', 0], ['b', 0], ['c', 0], ['a', 0]], expected: [1, 1, 1, 1] },
    { name: 'are remembered for recently used tasks', calls: [['a', 0], ['b', 0], ['a', 0], ['c', 0], ['a', 0]], expected: [1, 1, 2, 1, 3] }
  ]
  it.each(cases)('$name', ({ calls, expected }) => {
    const numbers = new RunNumbers(2)
    expect(calls.map(([task, tries]) => numbers.next(task, tries))).toEqual(expected)
  })

  it('are remembered for no more tasks than the maximum', () => {
    const numbers = new RunNumbers(100)
    for (let task = 0; task < 10_000; task++) numbers.next(`job.${task}`, 0)
    expect(numbers.size).toBe(100)
  })
})
