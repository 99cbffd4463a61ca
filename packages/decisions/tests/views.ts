import type { JobView, PlaceView } from '../src/index.js'

/** A job of one task of a core and 100 ms that arrived at 0 and is in time until 200. */
export const jobView = (more: Partial<JobView> = {}): JobView => ({
  priority: 0,
  need: { cpuMilli: 1000, memoryMb: 64 },
  expectedMs: 100,
  arrivedAt: 0,
  dueAt: 200,
  expiresAt: 600,
  shedAt: 200,
  queue: [0],
  mayHaveRun: 0,
  longestRunMs: 0,
  ...more
})

/** An agent in zone `here` that has just told room for ten such tasks. */
export const placeView = (more: Partial<PlaceView> & { rooms?: number } = {}): PlaceView => ({
  zone: 'here',
  freeCapacity: { cpuMilli: 1000 * (more.rooms ?? 10), memoryMb: 9999 },
  receivedAt: 0,
  slowness: 1,
  ...more
})
