/** Bounds that keep the cost of one evaluation small; see `docs/DESIGN.md` for the measured worst case. */
export const POLICY_LIMITS = {
  maxSourceLength: 4096,
  maxAstNodes: 100,
  maxDepth: 24,
  maxListElements: 16,
  maxMapEntries: 16,
  maxCallArguments: 8,
  maxLabels: 32,
  maxLabelLength: 256
} as const

/** Macros that loop; one must not stand within another. */
export const LOOP_MACROS: ReadonlySet<string> = new Set(['all', 'exists', 'exists_one', 'map', 'filter'])

/** Regular expressions of the library backtrack without bound. */
export const FORBIDDEN_CALLS: ReadonlySet<string> = new Set(['matches'])

/** Largest number that a policy may give. */
export const MAX_POLICY_NUMBER = 1_000_000_000
