import { describe, expect, it } from 'vitest'
import { RunNumbers } from './runNumbers.js'

describe('numbers of runs', () => {
  const cases: Array<{ name: string, calls: Array<[task: string, tries: number]>, expected: number[] }> = [
    { name: 'rise for each task', calls: [['a', 0], ['a', 0], ['b', 0]], expected: [1, 2, 1] },
    { name: 'step over what an earlier process used, in growing steps', calls: [['a', 0], ['a', 1], ['a', 2]], expected: [1, 3, 7] },
    { name: 'go on after the ones stepped over', calls: [['a', 0], ['a', 1], ['a', 0]], expected: [1, 3, 4] },
    { name: 'begin anew for a task that was forgotten', calls: [['a', 0], ['b', 0], ['c', 0], ['a', 0]], expected: [1, 1, 1, 1] },
    { name: 'are kept for tasks in use', calls: [['a', 0], ['b', 0], ['a', 0], ['c', 0], ['a', 0]], expected: [1, 1, 2, 1, 3] }
  ]
  it.each(cases)('$name', ({ calls, expected }) => {
    const numbers = new RunNumbers(2)
    expect(calls.map(([task, tries]) => numbers.next(task, tries))).toEqual(expected)
  })

  it('take no more memory than their bound', () => {
    const numbers = new RunNumbers(100)
    for (let task = 0; task < 10_000; task++) numbers.next(`job.${task}`, 0)
    expect(numbers.size).toBe(100)
  })
})
