import { mean, sampleStandardDeviation } from 'simple-statistics'

/** A mean with the half width of its 95% confidence interval. */
export interface Estimate {
  mean: number
  /** By the normal approximation; NaN for fewer than two values. */
  halfWidth: number
}

/** 95% of a normal distribution lies within this many standard deviations of its mean. */
const NORMAL_95 = 1.96

/** Mean and confidence interval of independent values. */
export const estimate = (values: number[]): Estimate => ({
  mean: mean(values),
  halfWidth: values.length < 2 ? NaN : NORMAL_95 * sampleStandardDeviation(values) / Math.sqrt(values.length)
})

/** Mean difference (second minus first) of paired values; pairing by seed removes the variation between seeds. */
export const estimateDifference = (first: number[], second: number[]): Estimate =>
  estimate(first.map((value, index) => second[index]! - value))
