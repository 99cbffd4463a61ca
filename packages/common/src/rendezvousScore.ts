import { createHash } from 'node:crypto'

/** Bytes of the digest that make a score: as many as a number holds exactly. */
const SCORE_BYTES = 6

/**
 * Score of a node for a key, for rendezvous hashing: whoever knows the same
 * nodes finds the same best ones for a key, and when a node comes or goes only
 * the keys that it is best for move. Thaler and Ravishankar, "Using name-based
 * mappings to increase hit rates", 1998.
 *
 * @param node - name of the node
 * @param key - what it is scored for
 * @returns a whole number, the same in every process; the highest is best
 */
export const rendezvousScore = (node: string, key: string): number =>
  createHash('sha1').update(`${node}\n${key}`).digest().readUIntBE(0, SCORE_BYTES)
