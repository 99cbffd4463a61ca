import { seededRandom } from '@hazellift/common'
import type { Random } from '@hazellift/common'

/** First numbers of neighbouring seeds are alike; far ones are not. */
const SEED_MULTIPLIER = 0x9E3779B1

/**
 * A source of its own for one purpose, so that what one part draws changes
 * nothing for the others: runs of one seed then differ by what is compared alone.
 */
export const randomStream = (seed: number, stream: number): Random =>
  seededRandom(Math.imul(seed * 64 + stream + 1, SEED_MULTIPLIER))

/** A normal deviate (Box and Muller). */
const drawNormal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())

/** Around the mean, with this standard deviation of the logarithm. */
export const drawLogNormal = (random: Random, mean: number, spread: number): number =>
  mean * Math.exp(spread * drawNormal(random) - spread * spread / 2)

/** Time until the next of events that come at this mean distance by chance. */
export const drawExponential = (random: Random, meanMs: number): number => -Math.log(1 - random()) * meanMs

/** A part of a list, at least one if the part is not empty. */
export const sampleShare = <T>(random: Random, list: readonly T[], share: number): T[] => {
  const remaining = [...list]
  const count = share === 0 ? 0 : Math.min(remaining.length, Math.max(1, Math.round(remaining.length * share)))
  return Array.from({ length: count }, () => remaining.splice(Math.floor(random() * remaining.length), 1)[0]!)
}
