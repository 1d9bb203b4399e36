module.exports = { testEnvironment: "node", roots: ["<rootDir>/dist/test"], testTimeout: 300000 };
