/**
 * The dispatcher's decisions: which jobs are admitted, in which order they run, where, and when they are refused.
 * They are pure functions over read-only views; time and random numbers are passed in.
 */
export * from './admit.js'
export * from './eject.js'
export * from './forecast.js'
export * from './handOn.js'
export * from './moveRun.js'
export * from './offerCapacity.js'
export * from './orderJobs.js'
export * from './placeTask.js'
export * from './policy.js'
export * from './retryAfter.js'
export * from './shares.js'
export * from './shed.js'
export * from './subset.js'
export * from './suspect.js'
export * from './types.js'
