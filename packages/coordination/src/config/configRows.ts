/** Prefixes and keys of the configuration's rows. */
export const CONFIG_ROWS = {
  head: 'config/head',
  workspacePrefix: 'config/workspace/',
  policyPrefix: 'config/policy/',
  zonePrefix: 'config/zone/',
  historyPrefix: 'config/history/'
} as const

/** What a change is about. */
export const CONFIG_KINDS = { workspace: 'workspace', policy: 'policy', zone: 'zone' } as const
export type ConfigKind = typeof CONFIG_KINDS[keyof typeof CONFIG_KINDS]

const VERSION_DIGITS = 20

/** Key of a change; keys sort as versions do. */
export const historyKey = (version: bigint): string =>
  CONFIG_ROWS.historyPrefix + version.toString().padStart(VERSION_DIGITS, '0')

/** What the keys of a kind's rows begin with. */
export const CONFIG_PREFIXES: Readonly<Record<ConfigKind, string>> = {
  workspace: CONFIG_ROWS.workspacePrefix,
  policy: CONFIG_ROWS.policyPrefix,
  zone: CONFIG_ROWS.zonePrefix
}

/** Key of the row of a workspace, policy or zone. */
export const configKey = (kind: ConfigKind, name: string): string => CONFIG_PREFIXES[kind] + name
