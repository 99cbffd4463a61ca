// Generates the settings tables in docs/OPERATORS.md from the schema. With --check it
// changes nothing and fails if the page is out of date.
import { readFileSync, writeFileSync } from 'node:fs'
import { flagName } from '@hazellift/common'
import { AgentSettingsSchema, EntrySettingsSchema, describeSetting } from '@hazellift/protocol'

const PAGE = 'docs/OPERATORS.md'

const formatBounds = ({ min, max }) => min === undefined && max === undefined ? '' : `${min ?? ''} to ${max ?? ''}`

const formatRow = (field) => {
  const info = describeSetting(field)
  const defaultText = info.required ? 'required' : info.defaultValue === '' ? 'none' : `\`${info.defaultValue}\``
  return `| \`${flagName(field)}\` | ${defaultText} | ${info.unit} | ${formatBounds(info)} | ${info.help} |`
}

const formatTable = (schema) => ['| flag | default | unit | bounds | meaning |', '| --- | --- | --- | --- | --- |', ...schema.fields.map(formatRow)].join('\n')

const replaceSection = (page, name, text) =>
  page.replace(new RegExp(`(<!-- ${name} -->\n)[\\s\\S]*?(\n<!-- end ${name} -->)`), `$1${text}$2`)

const page = readFileSync(PAGE, 'utf8')
const written = replaceSection(replaceSection(page, 'entry settings', formatTable(EntrySettingsSchema)), 'agent settings', formatTable(AgentSettingsSchema))
if (process.argv.includes('--check')) {
  if (written !== page) {
    console.error(`${PAGE} is out of date; run: node scripts/writeSettingsTables.js`)
    process.exitCode = 1
  }
} else {
  writeFileSync(PAGE, written)
}
