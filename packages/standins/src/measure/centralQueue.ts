import type { LoadJob } from './types.js'

/** Index of the smallest number. */
const indexOfMin = (numbers: Float64Array): number => {
  let best = 0
  for (let index = 1; index < numbers.length; index++) if (numbers[index]! < numbers[best]!) best = index
  return best
}

/**
 * Response time of each job if one queue, first come first served, fed all
 * slots without any cost: the ideal with the load's own queueing.
 *
 * @param jobs - in order of arrival
 * @param slots - of all endpoints together
 * @returns ms by job id
 */
export const centralQueueMs = (jobs: LoadJob[], slots: number): Map<string, number> => {
  const freeAt = new Float64Array(slots)
  return new Map(jobs.map(({ id, atMs, taskMs }) => {
    let endMs = atMs
    for (const ms of taskMs) {
      const slot = indexOfMin(freeAt)
      freeAt[slot] = Math.max(atMs, freeAt[slot]!) + ms
      endMs = Math.max(endMs, freeAt[slot]!)
    }
    return [id, endMs - atMs]
  }))
}
