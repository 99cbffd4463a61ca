// Writes the tables of settings in docs/OPERATORS.md from the schema.
import { readFileSync, writeFileSync } from 'node:fs'
import { flagName } from '@hazellift/common'
import { AgentSettingsSchema, EntrySettingsSchema, describeSetting } from '@hazellift/protocol'

const PAGE = 'docs/OPERATORS.md'

const boundsOf = ({ min, max }) => min === undefined && max === undefined ? '' : `${min ?? ''} to ${max ?? ''}`

const rowOf = (field) => {
  const info = describeSetting(field)
  const shown = info.required ? 'required' : info.defaultValue === '' ? 'none' : `\`${info.defaultValue}\``
  return `| \`${flagName(field)}\` | ${shown} | ${info.unit} | ${boundsOf(info)} | ${info.help} |`
}

const tableOf = (schema) => ['| flag | default | unit | bounds | meaning |', '| --- | --- | --- | --- | --- |', ...schema.fields.map(rowOf)].join('\n')

const replaceSection = (page, name, text) =>
  page.replace(new RegExp(`(<!-- ${name} -->\n)[\\s\\S]*?(\n<!-- end ${name} -->)`), `$1${text}$2`)

const page = readFileSync(PAGE, 'utf8')
const written = replaceSection(replaceSection(page, 'entry settings', tableOf(EntrySettingsSchema)), 'agent settings', tableOf(AgentSettingsSchema))
if (process.argv.includes('--check')) {
  if (written !== page) {
    console.error(`${PAGE} is stale: node scripts/writeSettingsTables.js`)
    process.exitCode = 1
  }
} else {
  writeFileSync(PAGE, written)
}
