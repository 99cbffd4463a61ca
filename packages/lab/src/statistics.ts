import { mean, sampleStandardDeviation } from 'simple-statistics'

/** A mean with the half width of its 95% interval. */
export interface Estimate {
  mean: number
  /** By the normal approximation; NaN for fewer than two values. */
  halfWidth: number
}

/** Of a normal distribution, 95% lies within so many standard deviations. */
const NORMAL_95 = 1.96

/** Mean and interval of values that do not depend on each other. */
export const estimate = (values: number[]): Estimate => ({
  mean: mean(values),
  halfWidth: values.length < 2 ? NaN : NORMAL_95 * sampleStandardDeviation(values) / Math.sqrt(values.length)
})

/** Estimate of the difference of pairs, by which seeds' own differences cancel out. */
export const estimateDifference = (first: number[], second: number[]): Estimate =>
  estimate(first.map((value, index) => second[index]! - value))
