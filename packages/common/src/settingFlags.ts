import type { DescField } from '@bufbuild/protobuf'

const ENV_PREFIX = 'HAZELLIFT_'

/**
 * Name of the command-line flag of a setting.
 *
 * @param field - field `foo_bar` gives `--foo-bar`
 */
export const flagName = (field: DescField): string => `--${field.name.replaceAll('_', '-')}`

/**
 * Name of the environment variable of a setting.
 *
 * @param field - field `foo_bar` gives `HAZELLIFT_FOO_BAR`
 */
export const envName = (field: DescField): string => ENV_PREFIX + field.name.toUpperCase()
