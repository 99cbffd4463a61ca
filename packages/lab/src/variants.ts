import { PLAIN_POLICY, POLICY } from '@hazellift/decisions'
import type { Policy } from '@hazellift/decisions'

const DECISIONS = Object.keys(POLICY) as Array<keyof Policy>

/**
 * Policies that can be compared, by name: the product's policy, the plain policy, and
 * the product's policy with one decision taken from the plain one, as `plain-DECISION`.
 */
export const VARIANTS: ReadonlyMap<string, Policy> = new Map<string, Policy>([
  ['product', POLICY],
  ['plain', PLAIN_POLICY],
  ...DECISIONS.map((name): [string, Policy] => [`plain-${name}`, { ...POLICY, [name]: PLAIN_POLICY[name] }])
])
