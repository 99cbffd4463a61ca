import type { JobView, PlaceView } from '../src/index.js'

/** A job of one task that needs one core for 100 ms; it arrived at 0 and is due at 200. */
export const jobView = (overrides: Partial<JobView> = {}): JobView => ({
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
  ...overrides
})

/** An agent in zone `here` that has just reported free capacity for ten such tasks, or for `slots`. */
export const placeView = (overrides: Partial<PlaceView> & { slots?: number } = {}): PlaceView => ({
  zone: 'here',
  freeCapacity: { cpuMilli: 1000 * (overrides.slots ?? 10), memoryMb: 9999 },
  receivedAt: 0,
  slowness: 1,
  ...overrides
})
