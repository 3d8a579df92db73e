import { configs, plugins } from 'eslint-config-airbnb-extended';

/** Airbnb's rules; each exception below says why the project needs it. */
export default [
  { ignores: ['dist/**', 'build/**', 'node_modules/**', 'target/**', '**/generated/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  {
    rules: {
      // Prettier formats; its choices and these rules contradict one another.
      ...Object.fromEntries(
        Object.keys(plugins.stylistic.plugins['@stylistic'].rules).map((name) => [
          `@stylistic/${name}`,
          'off',
        ]),
      ),
      // Compiled for Node.js, which has native iterators: `for…of` costs nothing.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      // The reducer owns its state and updates it in place.
      'no-param-reassign': ['error', { props: false }],
      // One main class per file, named as the file, offered by name from an index.
      'import-x/prefer-default-export': 'off',
      // NodeNext resolution writes the ending `.js` in every import.
      'import-x/extensions': 'off',
      'import-x/no-useless-path-segments': 'off',
      'import-x/no-cycle': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': 'off',
      'max-classes-per-file': ['error', 1],
      'no-await-in-loop': 'off',
      // Hashing.
      'no-bitwise': 'off',
      'max-lines': ['error', { max: 300, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 70, skipBlankLines: true, skipComments: true }],
      complexity: ['error', 14],
    },
  },
  {
    files: ['scripts/**'],
    languageOptions: { globals: { console: 'readonly', process: 'readonly', URL: 'readonly' } },
  },
  {
    files: ['src/tests/**', 'scripts/**'],
    rules: { 'max-lines-per-function': 'off', 'no-console': 'off' },
  },
];
