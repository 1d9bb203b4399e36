import { SimSuite } from "./simSuite";

SimSuite.part(4, 7);
