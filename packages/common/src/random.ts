import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A source of numbers in [0, 1). */
export type Random = () => number

/**
 * Creates a seeded source; the same seed gives the same sequence.
 *
 * @param seed - any integer
 */
export const seededRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}
